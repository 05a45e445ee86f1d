//! Implementation of [`JobGate`]: stores and cancels callers' jobs, and returns their states.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use log::Level;

use crate::connection::planner_protocol::StatusResponse;
use crate::external::row_store::RowError;
use crate::external::row_store::RowName;
use crate::external::row_store::RowTransaction;
use crate::external::row_store::StoredRow;
use crate::external::write_budget::WriteBudget;
use crate::external::write_budget::WritePriority;
use crate::ids::RowVersion;
use crate::process::clock;
use crate::process::gate::CallDeadline;
use crate::process::gate::JobGate;
use crate::process::gate::JobRefusal;
use crate::process::logging::log_event;
use crate::process::planning::evacuation_status::EvacuationStatus;
use crate::process::planning::evacuation_status::evacuation_status;
use crate::process::planning::host_admission::HostAdmission;
use crate::process::planning::planner_client::PlannerClient;
use crate::process::planning::rows::decode;
use crate::process::planning::rows::encode;
use crate::process::planning::shared::PlannerShared;
use crate::process::planning::store_access::RESPONSE_RESERVE;
use crate::process::planning::store_access::StoreAccess;
use crate::process::planning::unsettled_report::UnsettledReport;
use crate::version::queue_table::QueueTable;
use crate::workflow::progress::JobEnd;
use crate::workflow::progress::JobRecord;
use crate::workflow::progress::JobStatus;
use crate::workflow::progress::spec_digest;
use crate::workflow::spec::WorkflowSpec;

/// Delay before a store call whose response was lost is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Maximum rate of cancellations of jobs that have no row, each of which writes one. A caller may
/// invent the names, and the rows are kept for a while.
const MAX_WITHDRAWALS_PER_SECOND: f64 = 20.0;

/// The job service of a planner process. All processes offer it, whether or not they own planning.
pub struct JobService {
    shared: Arc<PlannerShared>,
    planner: Arc<PlannerClient>,
    admission: HostAdmission,
    store: StoreAccess,
    withdrawals: Mutex<WriteBudget>,
}

impl JobService {
    /// Creates the service.
    pub fn open(shared: Arc<PlannerShared>) -> JobService {
        JobService {
            planner: Arc::new(PlannerClient::open(shared.clone())),
            admission: HostAdmission::open(shared.clone()),
            store: StoreAccess::open(shared.clone()),
            withdrawals: Mutex::new(WriteBudget::new(MAX_WITHDRAWALS_PER_SECOND, clock::now())),
            shared,
        }
    }

    /// Refuses a job whose service no worker may run tasks for, unless it has been accepted before.
    async fn check_service(
        &self,
        job: &str,
        service: &str,
        deadline: CallDeadline,
    ) -> Result<(), JobRefusal> {
        let owned = self.shared.owned().as_ref().map(|owned| owned.planner.evacuated_services());
        let evacuated =
            owned.unwrap_or_else(|| self.shared.view().heartbeat.evacuated_services.clone());
        if !evacuated.contains(service) || self.read_job(job, deadline).await?.is_some() {
            return Ok(());
        }
        let reason = "all failure domains of the service are being evacuated".to_string();
        Err(JobRefusal::NotRun { reason })
    }

    /// Refuses a job that would end too late to be of value, unless it has been accepted before.
    /// This submission has stored nothing yet, so that the refusal is certain.
    async fn check_admission(
        &self,
        job: &str,
        spec: &WorkflowSpec,
        deadline: CallDeadline,
    ) -> Result<(), JobRefusal> {
        let Some(refusal) = self.admission.decide(&self.planner, job, spec).await else {
            return Ok(());
        };
        let row = self.store.get(&self.shared.settings.layout.row(job), deadline).await;
        match row {
            Ok(None | Some(StoredRow { value: None, .. })) => {}
            Ok(Some(_)) => return Ok(()),
            // The job may have been accepted before. It is inserted as if there were no admission
            // control, unless there is no time left in which the store could answer.
            Err(_) if deadline.left() >= RESPONSE_RESERVE + RETRY_DELAY => return Ok(()),
            Err(error) => return Err(JobRefusal::Unknown { reason: error.to_string() }),
        }
        self.admission.record_refusal(job, &spec.policy.queue, &refusal);
        let (reason, retry_after) = (refusal.reason.as_str().to_string(), refusal.retry_after);
        Err(JobRefusal::NotAdmitted { reason, retry_after })
    }

    /// Inserts the row of a job, and tells the planner if the outcome is unknown, or if the caller
    /// disconnects before it is known.
    async fn insert_and_settle(
        &self,
        job: &str,
        record: &JobRecord,
        deadline: CallDeadline,
    ) -> Result<(), JobRefusal> {
        if self.shared.settings.admission.is_none() {
            return self.insert_job(job, record, deadline).await;
        }
        let unsettled = UnsettledReport::open(self.planner.clone(), job);
        let result = self.insert_job(job, record, deadline).await;
        if matches!(result, Err(JobRefusal::Unknown { .. })) {
            // The caller gets its answer in time also if the planner does not respond.
            let report = self.planner.report_unsettled(job);
            if tokio::time::timeout(deadline.left() / 2, report).await.is_err() {
                log_event(Level::Warn, "unsettled_not_reported", &[("job", &job)]);
            }
        }
        unsettled.settle();
        result
    }

    /// Inserts the row of a job. After a lost response the transaction is retried; since it is
    /// conditional on the row not existing, it is applied once at most.
    async fn insert_job(
        &self,
        job: &str,
        record: &JobRecord,
        deadline: CallDeadline,
    ) -> Result<(), JobRefusal> {
        let name = self.shared.settings.layout.row(job);
        let transaction = RowTransaction {
            expected: vec![(name.clone(), 0)],
            puts: vec![(name, encode(record))],
            removes: Vec::new(),
        };
        let mut may_be_stored = false;
        loop {
            match self.store.commit(&transaction, deadline).await {
                Ok(_) => return Ok(()),
                Err(RowError::Conflict { rows }) => return check_stored_job(&rows, record),
                Err(RowError::Refused { reason }) if !may_be_stored => {
                    return Err(JobRefusal::NotRun { reason });
                }
                Err(error) => {
                    may_be_stored |= !matches!(error, RowError::Refused { .. });
                    if !self.may_retry(deadline) {
                        return Err(JobRefusal::Unknown { reason: error.to_string() });
                    }
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Whether to retry a call whose outcome is unknown. While the store is unreachable, the caller
    /// gets the error at once and may call again.
    fn may_retry(&self, deadline: CallDeadline) -> bool {
        self.shared.is_store_reachable() && deadline.left() >= RESPONSE_RESERVE + RETRY_DELAY
    }

    async fn read_job(
        &self,
        job: &str,
        deadline: CallDeadline,
    ) -> Result<Option<StoredRow>, JobRefusal> {
        let row = self.store.get(&self.shared.settings.layout.row(job), deadline).await;
        row.map_err(|error| JobRefusal::NotRun { reason: error.to_string() })
    }

    /// Marks a job as cancelled, retrying after conflicts and lost responses. Returns whether the
    /// job exists.
    async fn mark_cancelled(&self, job: &str, deadline: CallDeadline) -> Result<bool, JobRefusal> {
        let mut may_be_stored = false;
        loop {
            let row = self.read_job(job, deadline).await;
            let outcome = match row {
                Ok(row) => self.try_cancel(job, row, deadline).await,
                Err(refusal) => Err(RowError::Refused { reason: refusal.to_string() }),
            };
            match outcome {
                Ok(known) => return Ok(known),
                Err(RowError::Conflict { .. }) => {}
                Err(RowError::Refused { reason }) if !may_be_stored => {
                    return Err(JobRefusal::NotRun { reason });
                }
                Err(error) => {
                    may_be_stored = true;
                    if !self.may_retry(deadline) {
                        return Err(JobRefusal::Unknown { reason: error.to_string() });
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Attempts once to mark a job as cancelled, given its row. Returns whether the job exists.
    async fn try_cancel(
        &self,
        job: &str,
        row: Option<StoredRow>,
        deadline: CallDeadline,
    ) -> Result<bool, RowError> {
        let Some(row) = row.filter(|row| row.value.is_some()) else {
            return self.withdraw(job, deadline).await;
        };
        let record: Option<JobRecord> = decode(&row);
        let spec = match record {
            Some(JobRecord::Live { spec, cancelled: false }) => spec,
            Some(record) => return Ok(!record.is_withdrawn()),
            None => return Ok(true),
        };
        let record = JobRecord::Live { spec, cancelled: true };
        self.replace_row(row.name, row.version, &record, deadline).await.map(|()| true)
    }

    /// Cancels a job that has no row. A submission without a response may still be stored, on
    /// condition that there is no row: the row that is written here prevents that.
    async fn withdraw(&self, job: &str, deadline: CallDeadline) -> Result<bool, RowError> {
        self.take_withdrawal()?;
        let name = self.shared.settings.layout.row(job);
        let record = JobRecord::withdrawn(self.shared.clock.wall_millis());
        self.replace_row(name, 0, &record, deadline).await.map(|()| false)
    }

    /// Takes a withdrawal out of the budget.
    fn take_withdrawal(&self) -> Result<(), RowError> {
        let mut budget = self.withdrawals.lock().unwrap_or_else(PoisonError::into_inner);
        budget.try_take(WritePriority::End, clock::now()).map_err(|_| {
            let reason = "too many cancellations of unknown jobs".to_string();
            RowError::Refused { reason }
        })
    }

    async fn replace_row(
        &self,
        name: RowName,
        version: RowVersion,
        record: &JobRecord,
        deadline: CallDeadline,
    ) -> Result<(), RowError> {
        let transaction = RowTransaction {
            expected: vec![(name.clone(), version)],
            puts: vec![(name, encode(record))],
            removes: Vec::new(),
        };
        self.store.commit(&transaction, deadline).await.map(|_| ())
    }
}

/// Label of a submission's outcome in metrics.
fn outcome_label(result: &Result<(), JobRefusal>) -> &'static str {
    match result {
        Ok(()) => "accepted",
        Err(JobRefusal::NotRun { .. }) => "not_run",
        Err(JobRefusal::NotAdmitted { .. }) => "not_admitted",
        Err(JobRefusal::OtherJob) => "other_job",
        Err(JobRefusal::Unknown { .. }) => "unknown",
    }
}

/// Accepts a submission whose name is taken if the stored job has the same specification, and
/// refuses it otherwise, or if the job was cancelled before.
fn check_stored_job(rows: &[StoredRow], record: &JobRecord) -> Result<(), JobRefusal> {
    let stored: Option<JobRecord> = rows.iter().find_map(decode);
    match stored {
        Some(stored) if stored.is_withdrawn() => {
            Err(JobRefusal::NotRun { reason: "the job was cancelled before".to_string() })
        }
        Some(stored) if stored.digest() != record.digest() => Err(JobRefusal::OtherJob),
        _ => Ok(()),
    }
}

#[async_trait]
impl JobGate for JobService {
    fn is_ready(&self) -> bool {
        !self.shared.is_stopping()
            && self.shared.queues.borrow().is_some()
            && self.shared.is_store_reachable()
    }

    fn queues(&self) -> Option<Arc<QueueTable>> {
        self.shared.queues.borrow().clone()
    }

    fn wall_millis(&self) -> u64 {
        self.shared.clock.wall_millis()
    }

    async fn submit(
        &self,
        job: &str,
        spec: WorkflowSpec,
        deadline: CallDeadline,
    ) -> Result<(), JobRefusal> {
        let queue = spec.policy.queue.clone();
        let digest = spec_digest(&spec);
        let started_at = clock::now();
        let checked = match self.check_service(job, &spec.policy.service, deadline).await {
            Ok(()) => self.check_admission(job, &spec, deadline).await,
            Err(refusal) => Err(refusal),
        };
        let result = match checked {
            Ok(()) => {
                let record = JobRecord::Live { spec, cancelled: false };
                self.insert_and_settle(job, &record, deadline).await
            }
            Err(refusal) => Err(refusal),
        };
        let outcome = result.as_ref().map_or_else(ToString::to_string, |()| "accepted".to_string());
        let metrics = &self.shared.metrics;
        metrics.latency.observe(clock::elapsed(started_at).as_secs_f64());
        metrics.outcomes.with_label_values(&[queue.as_str(), outcome_label(&result), ""]).inc();
        log_event(
            Level::Info,
            "job_submitted",
            &[("job", &job), ("queue", &queue), ("digest", &digest), ("outcome", &outcome)],
        );
        result
    }

    async fn status(
        &self,
        job: &str,
        deadline: CallDeadline,
    ) -> Result<Option<JobStatus>, JobRefusal> {
        if let StatusResponse::Known(status) = self.planner.status(job).await {
            return Ok(Some(status));
        }
        let row = self.read_job(job, deadline).await?;
        Ok(row.as_ref().and_then(decode).and_then(|record| {
            Some(match record {
                JobRecord::Ended { end: JobEnd::Withdrawn, .. } => return None,
                JobRecord::Ended { end, .. } => JobStatus::Ended(end),
                JobRecord::Live { cancelled: true, .. } => JobStatus::Ended(JobEnd::Cancelled),
                JobRecord::Live { .. } => JobStatus::Queued,
            })
        }))
    }

    async fn cancel(&self, job: &str, deadline: CallDeadline) -> Result<bool, JobRefusal> {
        let result = self.mark_cancelled(job, deadline).await;
        let outcome = match &result {
            Ok(true) => "cancelled".to_string(),
            Ok(false) => "no such job".to_string(),
            Err(refusal) => refusal.to_string(),
        };
        log_event(Level::Info, "job_cancelled", &[("job", &job), ("outcome", &outcome)]);
        result
    }

    fn pending(&self, queue: &str) -> u64 {
        let owned = self.shared.owned().as_ref().map(|owned| owned.planner.pending());
        let pending = owned.unwrap_or_else(|| self.shared.view().heartbeat.pending.clone());
        pending.get(queue).copied().unwrap_or(0)
    }

    fn evacuations(&self) -> Option<EvacuationStatus> {
        evacuation_status(&self.shared)
    }
}
