//! What a caller submits: a job of steps, each with tasks of one kind.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::QueueName;
use crate::ids::RackName;
use crate::ids::ServiceName;

/// Most tasks of one occurrence of a job, so that its row stays within the store's limit: a task
/// takes at most about 100 bytes of the 64 KiB.
pub const MAX_WORKFLOW_TASKS: u32 = 500;

/// Resources that a task asks for, or that a worker has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceVector {
    /// Processor time in thousandths of a core.
    #[serde(rename = "c", alias = "millicores", default)]
    pub millicores: u64,
    /// Memory in mebibytes.
    #[serde(rename = "m", alias = "memory_mib", default)]
    pub memory_mib: u64,
    /// Whole accelerators.
    #[serde(rename = "g", alias = "accelerators", default)]
    pub accelerators: u64,
}

impl ResourceVector {
    /// Whether `other` fits into this amount.
    ///
    /// ```
    /// use greengagearch::workflow::spec::ResourceVector;
    ///
    /// let room = ResourceVector { millicores: 500, memory_mib: 64, accelerators: 0 };
    /// assert!(room.contains(&room));
    /// ```
    pub fn contains(&self, other: &ResourceVector) -> bool {
        other.millicores <= self.millicores
            && other.memory_mib <= self.memory_mib
            && other.accelerators <= self.accelerators
    }

    /// The sum of both amounts.
    ///
    /// ```
    /// use greengagearch::workflow::spec::ResourceVector;
    ///
    /// let room = ResourceVector { millicores: 500, memory_mib: 64, accelerators: 0 };
    /// assert_eq!(room.plus(&room).millicores, 1_000);
    /// ```
    pub fn plus(&self, other: &ResourceVector) -> ResourceVector {
        ResourceVector {
            millicores: self.millicores + other.millicores,
            memory_mib: self.memory_mib + other.memory_mib,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// What is left of this amount after `other`; never below zero.
    ///
    /// ```
    /// use greengagearch::workflow::spec::ResourceVector;
    ///
    /// let room = ResourceVector { millicores: 500, memory_mib: 64, accelerators: 0 };
    /// assert_eq!(room.minus(&room), ResourceVector::default());
    /// ```
    pub fn minus(&self, other: &ResourceVector) -> ResourceVector {
        ResourceVector {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// One step of a job: tasks that are alike.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What one task takes of a worker.
    #[serde(rename = "room")]
    pub resources: ResourceVector,
    /// Rough estimate of a task's duration, in milliseconds.
    pub estimate_ms: u64,
    /// Steps whose tasks must all be done first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<usize>,
    /// Whether a task saves checkpoints.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Whether all tasks run together, as one gang.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether a gang is slower on more than one rack.
    #[serde(skip_serializing_if = "is_false")]
    pub colocated: bool,
    /// Label that the worker must have.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub required_label: String,
    /// Rack on which the data is.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub preferred_rack: RackName,
    /// Most tasks of the step on one worker; zero for any number.
    #[serde(skip_serializing_if = "is_zero")]
    pub max_per_worker: u32,
    /// Whether copies of a task may run in parallel.
    #[serde(skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub image: String,
    /// Bound on the tail latency of a task that serves, in milliseconds; zero for none.
    #[serde(skip_serializing_if = "is_zero_wide")]
    pub target_ms: u64,
    /// Whether the tasks' processor time is not counted against the worker's capacity.
    #[serde(rename = "fills", skip_serializing_if = "is_false")]
    pub best_effort: bool,
    /// Tasks of the step that orders of the product may keep away at the same time.
    #[serde(rename = "may_miss", skip_serializing_if = "is_zero")]
    pub max_unavailable: u32,
}

impl StepSpec {
    /// What a task takes of the capacity that a worker guards.
    ///
    /// ```
    /// use greengagearch::workflow::spec::ResourceVector;
    /// use greengagearch::workflow::spec::StepSpec;
    ///
    /// let room = ResourceVector { millicores: 900, memory_mib: 10, accelerators: 0 };
    /// let step = StepSpec { resources: room, best_effort: true, ..StepSpec::default() };
    /// assert_eq!(step.reserved_resources().millicores, 0);
    /// ```
    pub fn reserved_resources(&self) -> ResourceVector {
        let millicores = if self.best_effort { 0 } else { self.resources.millicores };
        ResourceVector { millicores, ..self.resources }
    }
}

fn is_false(value: &bool) -> bool {
    !value
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

fn is_zero_wide(value: &u64) -> bool {
    *value == 0
}

/// That a queue's tasks start only where an advice service allows it, and how that service answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvicePolicy {
    /// Time of an answer, in milliseconds, whatever is asked.
    pub decide_ms: u64,
    /// Time for each worker that is named, in milliseconds.
    pub each_ms: u64,
    /// How long a ticket is valid, in milliseconds.
    pub valid_ms: u64,
}

/// How the operator's configuration treats a queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Name of the queue.
    pub queue: QueueName,
    /// Service whose workers run the tasks.
    pub service: ServiceName,
    /// Class of urgency; zero comes first.
    pub priority: u32,
    /// Failures of a task after which the job has failed.
    pub max_attempts: u32,
    /// Allowed time as a multiple of the job's longest chain of work.
    pub stretch: f64,
    /// Allowed time besides, in milliseconds.
    pub target_ms: u64,
    /// The advice that its tasks need, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<AdvicePolicy>,
}

/// A job as it was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkflowSpec {
    /// How its queue was treated when it was accepted.
    pub policy: QueuePolicy,
    /// Text that is handed to every task.
    pub payload: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// Number of occurrences of a timed job; zero for a job that runs once, at once.
    #[serde(default)]
    pub times: u32,
    /// When the first occurrence is due, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub first_due_ms: u64,
    /// Time between two occurrences, in milliseconds.
    #[serde(default)]
    pub interval_ms: u64,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
}

impl WorkflowSpec {
    /// Number of occurrences, at least one.
    ///
    /// ```
    /// # use greengagearch::workflow::spec::*;
    /// # let policy = QueuePolicy { queue: "q".into(), service: "s".into(), priority: 0,
    /// #     max_attempts: 2, stretch: 2.0, target_ms: 100, advice: None };
    /// # let spec = WorkflowSpec { policy, payload: String::new(), steps: Vec::new(), times: 0,
    /// #     first_due_ms: 0, interval_ms: 0, accepted_ms: 0 };
    /// assert_eq!(spec.occurrences(), 1);
    /// ```
    pub fn occurrences(&self) -> u32 {
        self.times.max(1)
    }

    /// Stands for the spec of a job that has ended and whose spec is stored no more.
    ///
    /// ```
    /// assert!(greengagearch::workflow::spec::WorkflowSpec::unknown().steps.is_empty());
    /// ```
    pub fn unknown() -> WorkflowSpec {
        let policy = QueuePolicy {
            queue: String::new(),
            service: String::new(),
            priority: 0,
            max_attempts: 1,
            stretch: 1.0,
            target_ms: 0,
            advice: None,
        };
        WorkflowSpec {
            policy,
            payload: String::new(),
            steps: Vec::new(),
            times: 0,
            first_due_ms: 0,
            interval_ms: 0,
            accepted_ms: 0,
        }
    }

    /// Whether occurrences start by time.
    ///
    /// ```
    /// # use greengagearch::workflow::spec::*;
    /// # let policy = QueuePolicy { queue: "q".into(), service: "s".into(), priority: 0,
    /// #     max_attempts: 2, stretch: 2.0, target_ms: 100, advice: None };
    /// # let spec = WorkflowSpec { policy, payload: String::new(), steps: Vec::new(), times: 2,
    /// #     first_due_ms: 0, interval_ms: 0, accepted_ms: 0 };
    /// assert!(spec.is_timed());
    /// ```
    pub fn is_timed(&self) -> bool {
        self.times > 0
    }

    /// When an occurrence is due, in milliseconds since the Unix epoch; acceptance for an untimed job.
    ///
    /// ```
    /// # use greengagearch::workflow::spec::*;
    /// # let policy = QueuePolicy { queue: "q".into(), service: "s".into(), priority: 0,
    /// #     max_attempts: 2, stretch: 2.0, target_ms: 100, advice: None };
    /// # let spec = WorkflowSpec { policy, payload: String::new(), steps: Vec::new(), times: 3,
    /// #     first_due_ms: 1_000, interval_ms: 50, accepted_ms: 0 };
    /// assert_eq!(spec.due_ms(2), 1_100);
    /// ```
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        if self.is_timed() {
            self.first_due_ms + u64::from(occurrence) * self.interval_ms
        } else {
            self.accepted_ms
        }
    }

    /// Everything that keeps the job from being accepted, one sentence each.
    ///
    /// ```
    /// # use greengagearch::workflow::spec::*;
    /// # let policy = QueuePolicy { queue: "q".into(), service: "s".into(), priority: 0,
    /// #     max_attempts: 2, stretch: 2.0, target_ms: 100, advice: None };
    /// # let spec = WorkflowSpec { policy, payload: String::new(), steps: Vec::new(), times: 0,
    /// #     first_due_ms: 0, interval_ms: 0, accepted_ms: 0 };
    /// assert_eq!(spec.findings(), ["steps: give at least one"]);
    /// ```
    pub fn findings(&self) -> Vec<String> {
        let mut findings = Vec::new();
        if self.steps.is_empty() {
            findings.push("steps: give at least one".to_string());
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                findings.push(format!("steps[{index}]: count must be at least 1"));
            }
            if step.after.iter().any(|before| *before >= index) {
                findings.push(format!("steps[{index}]: only earlier steps can come first"));
            }
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > u64::from(MAX_WORKFLOW_TASKS) {
            findings.push(format!("steps: at most {MAX_WORKFLOW_TASKS} tasks, not {tasks}"));
        }
        findings
    }
}
