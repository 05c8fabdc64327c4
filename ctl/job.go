package ctl

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/currantthread/currantthread/control"
	"github.com/currantthread/currantthread/job"
)

func jobCommand() *cli.Command {
	return group("job", "submit and follow jobs",
		command("submit", "submit a batch job", nil, specFlags(job.PriorityBatch), submit(job.ClassBatch)),
		command("list", "list jobs, newest first", nil, []cli.Flag{&cli.StringFlag{Name: "team", Usage: "only jobs of a `TEAM`"}}, listJobs),
		command("show", "show where the tasks of a job are and why they wait", []string{"JOB"}, nil, showJob),
		command("cancel", "stop a job", []string{"JOB"}, nil, cancelJob),
	)
}

func serviceCommand() *cli.Command {
	flags := append(specFlags(job.PriorityService), &cli.StringFlag{Name: "service", Required: true, Usage: "`NAME` of the service that the replicas answer for"})
	return group("service", "run replicas of a service",
		command("start", "start replicas of a service", nil, flags, submit(job.ClassService)),
		command("stop", "stop the replicas that a job started", []string{"JOB"}, nil, cancelJob),
	)
}

func standingCommand() *cli.Command {
	return group("standing", "run standing tasks",
		command("start", "start standing tasks", nil, specFlags(job.PriorityBatch), submit(job.ClassStanding)),
		command("stop", "stop the standing tasks of a job", []string{"JOB"}, nil, cancelJob),
	)
}

func specFlags(priority job.Priority) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "name", Required: true, Usage: "`NAME` of the job"},
		&cli.StringFlag{Name: "team", Required: true, Usage: "`TEAM` whose quota the job uses"},
		&cli.IntFlag{Name: "tasks", Value: 1, Usage: "`NUMBER` of tasks or replicas"},
		&cli.Int64Flag{Name: "cpu-milli", Value: 1000, Usage: "processor time of each task in thousandths of a core"},
		&cli.Int64Flag{Name: "memory-mib", Value: 512, Usage: "memory of each task in MiB"},
		&cli.Int64Flag{Name: "accelerators", Usage: "accelerators of each task"},
		&cli.IntFlag{Name: "priority", Value: int(priority), Usage: "0 (urgent) to 99"},
		&cli.DurationFlag{Name: "runtime", Usage: "declared run time of each task, a hint"},
		&cli.StringFlag{Name: "kind", Usage: "`KIND` of work, for learned interference"},
		&cli.StringFlag{Name: "region", Usage: "run only in a `REGION`"},
		&cli.StringFlag{Name: "domain", Usage: "run only in a failure `DOMAIN`"},
		&cli.StringFlag{Name: "payload", Usage: "`TEXT` passed to the worker"},
		&cli.StringFlag{Name: "id", Usage: "`ID` of the job; submitting the same ID again changes nothing"},
	}
}

func submit(class job.Class) func(context.Context, *cli.Command) error {
	return func(ctx context.Context, cmd *cli.Command) error {
		j := job.Job{
			ID: cmd.String("id"), Name: cmd.String("name"), Team: cmd.String("team"), Tasks: cmd.Int("tasks"),
			Spec: job.TaskSpec{
				Class: class, Priority: job.Priority(cmd.Int("priority")), Kind: cmd.String("kind"),
				Resources: job.Resources{
					CPUMilli: cmd.Int64("cpu-milli"), MemoryMiB: cmd.Int64("memory-mib"), Accelerators: cmd.Int64("accelerators"),
				},
				RuntimeMillis: cmd.Duration("runtime").Milliseconds(), Payload: cmd.String("payload"),
				Constraints: job.Constraints{Region: cmd.String("region"), Domain: cmd.String("domain")},
			},
		}
		if class == job.ClassService {
			j.Spec.Service = cmd.String("service")
		}
		if j.ID == "" {
			j.ID = control.NewJobID()
		}
		if err := client(cmd).Call(ctx, http.MethodPost, "/jobs", nil, j, &j); err != nil {
			return fmt.Errorf("job %s: %w", j.ID, err)
		}
		return showJobs(cmd, []job.Job{j})
	}
}

func listJobs(ctx context.Context, cmd *cli.Command) error {
	var jobs []job.Job
	query := url.Values{}
	if team := cmd.String("team"); team != "" {
		query.Set("team", team)
	}
	if err := client(cmd).Call(ctx, http.MethodGet, "/jobs", query, nil, &jobs); err != nil {
		return err
	}
	return showJobs(cmd, jobs)
}

func showJobs(cmd *cli.Command, jobs []job.Job) error {
	return show(cmd, jobs, []string{"JOB", "NAME", "TEAM", "CLASS", "TASKS", "PRIORITY", "SUBMITTED"}, func(jobs []job.Job) [][]string {
		rows := make([][]string, len(jobs))
		for i, j := range jobs {
			rows[i] = []string{
				j.ID, j.Name, j.Team, string(j.Spec.Class), strconv.Itoa(j.Tasks), strconv.Itoa(int(j.Spec.Priority)),
				time.UnixMilli(j.SubmittedAt).UTC().Format(time.RFC3339),
			}
		}
		return rows
	})
}

func showJob(ctx context.Context, cmd *cli.Command) error {
	var status control.JobStatus
	if err := client(cmd).Call(ctx, http.MethodGet, "/jobs/"+url.PathEscape(cmd.Args().First()), nil, nil, &status); err != nil {
		return err
	}
	return show(cmd, status, []string{"WHAT", "TASKS", "DETAIL"}, jobRows)
}

func jobRows(status control.JobStatus) [][]string {
	detail := ""
	if status.Cancelled {
		detail = "cancelled"
	}
	rows := [][]string{
		{"total", strconv.Itoa(status.Job.Tasks), detail},
		{"queued", strconv.Itoa(status.Queued), ""},
		{"assigned", strconv.Itoa(status.Assigned), ""},
		{"completed", strconv.Itoa(status.Completed), ""},
		{"failed", strconv.Itoa(status.Failed), ""},
		{"stopped", strconv.Itoa(status.Stopped), ""},
	}
	for _, w := range status.Waiting {
		rows = append(rows, []string{"waiting", strconv.Itoa(w.Tasks), w.Reason})
	}
	for _, r := range status.Running {
		rows = append(rows, []string{"task " + string(r.Task), "", fmt.Sprintf("%s on %s in %s, attempt %d", r.State, r.Worker, r.Cell, r.Attempt)})
	}
	return rows
}

func cancelJob(ctx context.Context, cmd *cli.Command) error {
	id := cmd.Args().First()
	query := url.Values{"operator": {cmd.String("operator")}}
	if err := client(cmd).Call(ctx, http.MethodPost, "/jobs/"+url.PathEscape(id)+"/cancel", query, nil, &struct{}{}); err != nil {
		return err
	}
	_, err := fmt.Fprintf(cmd.Root().ErrWriter, "job %s is cancelled; its tasks stop\n", id)
	return err
}
