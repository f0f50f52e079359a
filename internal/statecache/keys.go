package statecache

import (
	"net/url"
	"strconv"
	"strings"
)

// LivePrefix is the prefix of all keys that every controller replicates. A job that is over
// leaves one record elsewhere (FinalStateKey), which is read when it is asked for.
const LivePrefix = "live/"

// TermKey is the key of the highest term that was ever given out.
const TermKey = LivePrefix + "term"

// The kinds of live records, by the prefix of their keys. All have one length.
const (
	jobPrefix         = LivePrefix + "j/"
	taskRangePrefix   = LivePrefix + "t/"
	capacityPrefix    = LivePrefix + "p/"
	leaderPrefix      = LivePrefix + "o/"
	nodePrefix        = LivePrefix + "n/"
	machinePagePrefix = LivePrefix + "m/"
	quotaPrefix       = LivePrefix + "q/"
	capabilityPrefix  = LivePrefix + "v/"
	zonePrefix        = LivePrefix + "z/"
)

const finalStatePrefix = "past/"

// JobKey returns the key of a job's main record.
func JobKey(uid string) string { return jobPrefix + uid }

// JobOfKey returns the job whose main record has a key; ok is false for other keys.
func JobOfKey(key string) (uid string, ok bool) { return strings.CutPrefix(key, jobPrefix) }

// TaskRangeKey returns the key of the record of a task range of a job whose records were
// split so many times.
func TaskRangeKey(uid string, generation, index int) string {
	if generation == 0 {
		return taskRangePrefix + uid + "/" + strconv.Itoa(index)
	}
	return taskRangePrefix + uid + "/g" + strconv.Itoa(generation) + "." + strconv.Itoa(index)
}

// IsRecordOf reports whether a key is that of a record of a job, its main record or one of a
// task range.
func IsRecordOf(uid, key string) bool {
	return key == jobPrefix+uid || strings.HasPrefix(key, taskRangePrefix+uid+"/")
}

// parseTaskRangeKey reads what follows the prefix in the key of a task range.
func parseTaskRangeKey(id string) (uid string, key RangeKey, err error) {
	uid, index, _ := strings.Cut(id, "/")
	if generation, rest, ok := strings.Cut(index, "."); ok {
		if key.Generation, err = strconv.Atoi(strings.TrimPrefix(generation, "g")); err != nil {
			return uid, key, err
		}
		index = rest
	}
	key.Index, err = strconv.Atoi(index)
	return uid, key, err
}

// CapacityKey returns the key of a shard's capacity record.
func CapacityKey(shard string) string { return capacityPrefix + shard }

// LeaderKey returns the key of the record of a shard's leader, which is attached to the
// leader's lease.
func LeaderKey(shard string) string { return leaderPrefix + shard }

// NodeKey returns the key of the record of a living controller, which is attached to its
// lease.
func NodeKey(node string) string { return nodePrefix + node }

// CapabilityKey returns the key of the record of which forms a controller reads, which stays
// when the controller ends.
func CapabilityKey(node string) string { return capabilityPrefix + node }

// MachinePageKey returns the key of a page of machines (see PageID).
func MachinePageKey(page string) string { return machinePagePrefix + page }

// QuotaKey returns the key of the record of how a team's quota is shared among shards.
func QuotaKey(team string) string { return quotaPrefix + QuotaID(team) }

// QuotaID returns the name under which the cache has a team's quota record.
func QuotaID(team string) string { return url.PathEscape(team) }

// ZoneKey returns the key of the record of a zone's health.
func ZoneKey(zone string) string { return zonePrefix + ZoneID(zone) }

// ZoneID returns the name under which the cache has a zone's health record.
func ZoneID(zone string) string { return url.PathEscape(zone) }

// ZoneOfID returns the zone of a name under which the cache has its health record.
func ZoneOfID(id string) string {
	zone, err := url.PathUnescape(id)
	if err != nil {
		return id
	}
	return zone
}

// FinalStateKey returns the key of the record of how a job ended.
func FinalStateKey(uid string) string { return finalStatePrefix + uid }
