/** Definitions of the metrics that an instance exposes. */

/** Definition of a metric. */
export interface MetricDefinition {
  /** A counter only increases, a gauge is set to a value, a duration is recorded in a histogram. */
  readonly kind: "counter" | "gauge" | "duration";
  readonly help: string;
  readonly labels: readonly string[];
}

/** All metrics by name, without the `goldcrestlug_` prefix of the text output. */
export const METRIC_DEFINITIONS = Object.freeze(
  {
    http_answers_total: {
      kind: "counter",
      help: "Answers by route and HTTP status",
      labels: ["route", "status"],
    },
    requests_total: {
      kind: "counter",
      help: "Requests by workspace and outcome: answered, or an error kind",
      labels: ["workspace", "outcome"],
    },
    request_retries_total: {
      kind: "counter",
      help: "Retries of requests by workspace",
      labels: ["workspace"],
    },
    slot_grants_total: {
      kind: "counter",
      help: "Slot grants given by this instance as leader",
      labels: [],
    },
    task_starts_total: {
      kind: "counter",
      help: "Tasks started by policy",
      labels: ["policy"],
    },
    task_ends_total: {
      kind: "counter",
      help: "Ended task attempts by outcome",
      labels: ["outcome"],
    },
    work_calls_total: {
      kind: "counter",
      help: "Calls passed on to the leader, by kind and outcome",
      labels: ["call", "outcome"],
    },
    jobs_refused_total: {
      kind: "counter",
      help: "Jobs that admission refused, by reason",
      labels: ["reason"],
    },
    run_starts_total: {
      kind: "counter",
      help: "Start orders to runners by result",
      labels: ["result"],
    },
    draining_runner_starts_total: {
      kind: "counter",
      help: "Start orders sent to runners that had announced that they drain",
      labels: [],
    },
    run_start_delivery_ms: {
      kind: "duration",
      help: "Time from sending a start order to its execution by the runner",
      labels: [],
    },
    run_ends_total: {
      kind: "counter",
      help: "Ends of runs that runners listed, by outcome",
      labels: ["outcome"],
    },
    runner_crashes_total: {
      kind: "counter",
      help: "Runners that crashed while a leader used them",
      labels: [],
    },
    runners_suspended_total: {
      kind: "counter",
      help: "Runners that got no work for a while",
      labels: [],
    },
    log_elections_total: {
      kind: "counter",
      help: "Leaderships gained by this instance, by log group",
      labels: ["group"],
    },
    eligibility_recalled_total: {
      kind: "counter",
      help:
        "Steps and tickets that this instance as a new leader recalled from answers kept by instances, by kind",
      labels: ["kind"],
    },
    requests_waiting: {
      kind: "gauge",
      help: "Requests that wait for a slot at this leader",
      labels: [],
    },
    requests_open: {
      kind: "gauge",
      help: "Requests at this entry instance without an answer yet",
      labels: [],
    },
    endpoints: {
      kind: "gauge",
      help: "Endpoints known to this leader by state",
      labels: ["state"],
    },
    workers: {
      kind: "gauge",
      help: "Workers known to this leader by state",
      labels: ["state"],
    },
    leader_lateness_ms: {
      kind: "gauge",
      help:
        "Mean time by which planning rounds of this leader begin late, in milliseconds",
      labels: [],
    },
    steps_waiting: {
      kind: "gauge",
      help: "Steps with tasks that wait for a place at this leader",
      labels: [],
    },
    evacuated_since_seconds: {
      kind: "gauge",
      help:
        "Unix time since which no task is started in a data centre, in seconds; 0 once its evacuation is withdrawn",
      labels: ["dataCentre"],
    },
    evacuated_runs: {
      kind: "gauge",
      help: "Runs that are left in an evacuated data centre",
      labels: ["dataCentre"],
    },
    config_version: {
      kind: "gauge",
      help: "Version of the configuration in force here",
      labels: [],
    },
    log_commit_index: {
      kind: "gauge",
      help: "Highest committed entry by log group",
      labels: ["group"],
    },
    log_is_leader: {
      kind: "gauge",
      help: "1 while this instance leads the log group",
      labels: ["group"],
    },
    work_call_ms: {
      kind: "duration",
      help: "Time from a call to the leader's answer, by kind",
      labels: ["call"],
    },
    job_ms: {
      kind: "duration",
      help: "Time from the acceptance of a job to its end, by queue",
      labels: ["queue"],
    },
    http_duration_ms: {
      kind: "duration",
      help: "Time from request to answer by route",
      labels: ["route"],
    },
    request_duration_ms: {
      kind: "duration",
      help: "Time of a workspace's requests at this entry instance",
      labels: ["workspace"],
    },
    request_wait_ms: {
      kind: "duration",
      help: "Time that a workspace's requests waited for a slot at this leader",
      labels: ["workspace"],
    },
    task_wait_ms: {
      kind: "duration",
      help: "Time from the submission of a task to its start, by policy",
      labels: ["policy"],
    },
    placement_ms: {
      kind: "duration",
      help: "Time of one placement decision",
      labels: [],
    },
    log_propose_ms: {
      kind: "duration",
      help: "Time from proposal to commitment by log group",
      labels: ["group"],
    },
  } as const satisfies Record<string, MetricDefinition>,
);

/** The name of a metric. */
export type MetricName = keyof typeof METRIC_DEFINITIONS;
