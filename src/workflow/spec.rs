//! Specification of a job as submitted by a caller: steps, each with identical tasks.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::QueueName;
use crate::ids::RackName;
use crate::ids::ServiceName;

/// Largest number of tasks in one occurrence of a job. It keeps the job's row within the store's
/// limit of 64 KiB: a task takes up to about 100 bytes.
pub const MAX_WORKFLOW_TASKS: u32 = 500;

/// Amounts of resources that a task requests or that a worker has.
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
    /// let amount = ResourceVector { millicores: 500, memory_mib: 64, accelerators: 0 };
    /// assert!(amount.contains(&amount));
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
    /// let amount = ResourceVector { millicores: 500, memory_mib: 64, accelerators: 0 };
    /// assert_eq!(amount.plus(&amount).millicores, 1_000);
    /// ```
    pub fn plus(&self, other: &ResourceVector) -> ResourceVector {
        ResourceVector {
            millicores: self.millicores + other.millicores,
            memory_mib: self.memory_mib + other.memory_mib,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// This amount minus `other`, with zero as the lower limit of each component.
    ///
    /// ```
    /// use greengagearch::workflow::spec::ResourceVector;
    ///
    /// let amount = ResourceVector { millicores: 500, memory_mib: 64, accelerators: 0 };
    /// assert_eq!(amount.minus(&amount), ResourceVector::default());
    /// ```
    pub fn minus(&self, other: &ResourceVector) -> ResourceVector {
        ResourceVector {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// One step of a job, which consists of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that one task requests.
    #[serde(rename = "room")]
    pub resources: ResourceVector,
    /// The caller's estimate of a task's duration, in milliseconds.
    pub estimate_ms: u64,
    /// Steps that have to be done predecessor this one starts.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<usize>,
    /// Whether a task saves checkpoints.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Whether all tasks have to run at the same time, as a gang.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether the gang is slower if it spans several racks.
    #[serde(skip_serializing_if = "is_false")]
    pub colocated: bool,
    /// Label that the worker must have; empty for any worker.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub required_label: String,
    /// Rack that holds the input data; empty for none.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub preferred_rack: RackName,
    /// Largest number of tasks of the step on one worker; zero for no limit.
    #[serde(skip_serializing_if = "is_zero")]
    pub max_per_worker: u32,
    /// Whether several copies of a task may run in parallel.
    #[serde(skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// Image that the tasks execute. Tasks of one image are assumed to behave alike.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub image: String,
    /// Target for the tail latency of a serving task, in milliseconds; zero for other tasks.
    #[serde(skip_serializing_if = "is_zero_u64")]
    pub target_ms: u64,
    /// Whether the tasks are best-effort: they use the processor time that other tasks leave, and
    /// their processor time is not counted against the worker's allocatable capacity.
    #[serde(rename = "fills", skip_serializing_if = "is_false")]
    pub best_effort: bool,
    /// Largest number of tasks of the step that the scheduler may interrupt at the same time.
    #[serde(rename = "may_miss", skip_serializing_if = "is_zero")]
    pub max_unavailable: u32,
}

impl StepSpec {
    /// Resources of a task that count against the worker's allocatable capacity.
    ///
    /// ```
    /// use greengagearch::workflow::spec::ResourceVector;
    /// use greengagearch::workflow::spec::StepSpec;
    ///
    /// let resources = ResourceVector { millicores: 900, memory_mib: 10, accelerators: 0 };
    /// let step = StepSpec { resources, best_effort: true, ..StepSpec::default() };
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

fn is_zero_u64(value: &u64) -> bool {
    *value == 0
}

/// Policy of a queue whose tasks start only on workers that the advice service allows, with the
/// service's response times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvicePolicy {
    /// Fixed part of the response time, in milliseconds.
    pub decide_ms: u64,
    /// Response time per worker in the query, in milliseconds.
    pub each_ms: u64,
    /// Validity of a ticket, in milliseconds.
    pub valid_ms: u64,
}

/// Policy of a queue from the operator's configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Name of the queue.
    pub queue: QueueName,
    /// Service on whose workers the tasks run.
    pub service: ServiceName,
    /// Priority of the queue; zero is the highest.
    pub priority: u32,
    /// Number of failures of one task after which the job fails.
    pub max_attempts: u32,
    /// Proportional part of the time objective, as a multiple of the job's critical path.
    pub stretch: f64,
    /// Constant part of the time objective, in milliseconds.
    pub target_ms: u64,
    /// Advice policy, if the tasks need permission of the advice service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<AdvicePolicy>,
}

/// The specification of an accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkflowSpec {
    /// Policy of its queue at the time of acceptance.
    pub policy: QueuePolicy,
    /// Text that is passed to every task.
    pub payload: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// Number of occurrences of a timed job; zero for a job that runs once and immediately.
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

    /// Placeholder for the specification of an ended job, which is no longer stored.
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

    /// Whether occurrences start at scheduled times.
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

    /// When an occurrence is due, in milliseconds since the Unix epoch. A job that is not timed is
    /// due at its acceptance.
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

    /// Validates the specification. Returns one message for each reason to reject the job.
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
        if self.steps.len() > MAX_WORKFLOW_TASKS as usize {
            // Each step has a task at least. A finding for each would be larger than the job.
            return vec![format!("steps: at most {MAX_WORKFLOW_TASKS}, not {}", self.steps.len())];
        }
        if self.steps.is_empty() {
            findings.push("steps: give at least one".to_string());
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                findings.push(format!("steps[{index}]: count must be at least 1"));
            }
            if step.after.iter().any(|predecessor| *predecessor >= index) {
                findings.push(format!("steps[{index}]: after may name only earlier steps"));
            }
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > u64::from(MAX_WORKFLOW_TASKS) {
            findings.push(format!("steps: at most {MAX_WORKFLOW_TASKS} tasks, not {tasks}"));
        }
        findings
    }
}
