package statecache

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"violetturn/internal/api"
	"violetturn/internal/job"
)

// LivePrefix is the prefix of all keys that every controller caches. A finished job leaves one
// record under another prefix (FinalStateKey), which is read on demand.
const LivePrefix = "live/"

// TermKey is the key of the highest term ever issued.
const TermKey = LivePrefix + "term"

// Key prefixes of the kinds of live records. All have the same length.
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

// JobOfKey returns the job whose main record has the given key; ok is false for other keys.
func JobOfKey(key string) (uid string, ok bool) { return strings.CutPrefix(key, jobPrefix) }

// TaskRangeKey returns the key of the record of a job's task range. generation counts the splits of
// the job's records, from 0 before the first one.
func TaskRangeKey(uid string, generation, index int) string {
	if generation == 0 {
		return taskRangePrefix + uid + "/" + strconv.Itoa(index)
	}
	return taskRangePrefix + uid + "/g" + strconv.Itoa(generation) + "." + strconv.Itoa(index)
}

// IsRecordOf reports whether a key is that of a job's main record or of one of its task ranges.
func IsRecordOf(uid, key string) bool {
	return key == jobPrefix+uid || strings.HasPrefix(key, taskRangePrefix+uid+"/")
}

// parseTaskRangeKey parses the part of a task range's key that follows the prefix.
func parseTaskRangeKey(id string) (uid string, key RangeKey, err error) {
	uid, index, _ := strings.Cut(id, "/")
	if generation, rest, ok := strings.Cut(index, "."); ok {
		if key.Generation, err = strconv.Atoi(strings.TrimPrefix(generation, "g")); err != nil {
			return uid, key, err
		}
		index = rest
	}
	key.Index, err = strconv.Atoi(index)
	if err == nil && (key.Generation < 0 || key.Index < 0 || key.Index >= api.MaxTasks) {
		err = fmt.Errorf("task range %q: %w", id, job.ErrOutOfRange)
	}
	return uid, key, err
}

// CapacityKey returns the key of a shard's capacity record.
func CapacityKey(shard string) string { return capacityPrefix + shard }

// LeaderKey returns the key of the record of a shard's leader, which is attached to the leader's
// lease.
func LeaderKey(shard string) string { return leaderPrefix + shard }

// NodeKey returns the key of the record of a running controller, which is attached to its lease.
func NodeKey(controller string) string { return nodePrefix + controller }

// CapabilityKey returns the key of the record of the record formats that a controller reads, which
// remains when the controller ends.
func CapabilityKey(controller string) string { return capabilityPrefix + controller }

// MachinePageKey returns the key of the machine page with the given ID (see PageID).
func MachinePageKey(pageID string) string { return machinePagePrefix + pageID }

// QuotaKey returns the key of the record that divides a team's quota among shards.
func QuotaKey(team string) string { return quotaPrefix + QuotaID(team) }

// QuotaID returns the ID of a team's quota record in the cache.
func QuotaID(team string) string { return url.PathEscape(team) }

// ZoneKey returns the key of the record of a zone's health.
func ZoneKey(zone string) string { return zonePrefix + ZoneID(zone) }

// ZoneID returns the ID of a zone's health record in the cache.
func ZoneID(zone string) string { return url.PathEscape(zone) }

// ZoneOfID returns the zone whose health record has the given ID.
func ZoneOfID(id string) string {
	zone, err := url.PathUnescape(id)
	if err != nil {
		return id
	}
	return zone
}

// FinalStateKey returns the key of the record of a job's final state.
func FinalStateKey(uid string) string { return finalStatePrefix + uid }
