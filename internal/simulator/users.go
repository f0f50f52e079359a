package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"violetturn/internal/api"
)

// teams are the teams whose users submit jobs, in round-robin order.
var teams = [...]string{"a", "b"}

// NewJob returns the n-th job of a class, with random properties, and the run time of its tasks. It
// draws from rnd in a fixed order.
func (c *JobClass) NewJob(n int, rnd *rand.Rand) (api.Job, time.Duration) {
	tasks := 1 + rnd.IntN(2*c.MeanTasks)
	image := fmt.Sprintf("%s-%d", c.Name, rnd.IntN(c.ImageCount))
	j := api.Job{
		UID:                 fmt.Sprintf("run-%06d", n),
		Class:               c.Name,
		Team:                teams[n%len(teams)],
		Kind:                api.Array,
		Priority:            "standard",
		Tasks:               tasks,
		CPUs:                c.CPUs,
		GPUs:                1,
		MemGB:               c.MemGB,
		Image:               image,
		ImageGB:             4,
		AllowSpot:           true,
		EstimatedRunS:       c.RunTime.Seconds(),
		CheckpointIntervalS: 30,
		SaveDurationS:       2,
	}
	if c.Service {
		j.Kind, j.Priority, j.AllowSpot, j.Spread = api.Service, "production", false, true
		j.EstimatedRunS, j.CheckpointIntervalS, j.SaveDurationS = 0, 0, 0
	}
	return j, time.Duration(float64(c.RunTime) * (0.5 + rnd.Float64()))
}

// submissionBody is the body of a request that submits a job.
type submissionBody struct {
	UID                 string       `json:"uid"`
	Class               string       `json:"lane"`
	Team                string       `json:"owner"`
	Kind                api.JobKind  `json:"shape"`
	Priority            api.Priority `json:"rank"`
	Tasks               int          `json:"pieces"`
	CPUs                float64      `json:"cpus"`
	GPUs                float64      `json:"gpus"`
	MemGB               float64      `json:"memGb"`
	Image               string       `json:"bundle"`
	ImageGB             float64      `json:"sizeGb"`
	Zone                string       `json:"site,omitempty"`
	SingleZone          bool         `json:"together"`
	Spread              bool         `json:"scatter"`
	AllowSpot           bool         `json:"loaners"`
	EstimatedRunS       float64      `json:"guessS"`
	CheckpointIntervalS float64      `json:"bookmarkS"`
	SaveDurationS       float64      `json:"stowS"`
	DeadlineS           *float64     `json:"dueS,omitempty"`
}

// Submission returns the body of a request that submits a job.
func Submission(j *api.Job) []byte {
	return api.MustMarshal(submissionBody{
		UID:                 j.UID,
		Class:               j.Class,
		Team:                j.Team,
		Kind:                j.Kind,
		Priority:            j.Priority,
		Tasks:               j.Tasks,
		CPUs:                j.CPUs,
		GPUs:                j.GPUs,
		MemGB:               j.MemGB,
		Image:               j.Image,
		ImageGB:             j.ImageGB,
		Zone:                j.Zone,
		SingleZone:          j.SingleZone,
		Spread:              j.Spread,
		AllowSpot:           j.AllowSpot,
		EstimatedRunS:       j.EstimatedRunS,
		CheckpointIntervalS: j.CheckpointIntervalS,
		SaveDurationS:       j.SaveDurationS,
		DeadlineS:           j.DeadlineS,
	})
}
