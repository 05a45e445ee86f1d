//! Records in the store which instances the runner on this host has had.
//!
//! After a power loss, a new agent finds a new instance of the runner. The record lets it report
//! the end of the earlier instances to the planner, so that their work continues at once and not
//! when the longest lease has expired.

use std::sync::Arc;

use log::Level;

use crate::connection::retry_pace::RetryPace;
use crate::external::row_store::RowError;
use crate::external::row_store::RowName;
use crate::external::row_store::RowStore;
use crate::external::row_store::RowTransaction;
use crate::external::row_store::StoredRow;
use crate::ids::InstanceId;
use crate::ids::RowVersion;
use crate::process::clock;
use crate::process::logging::log_event;
use crate::process::node::shared::NodeShared;
use crate::process::planning::rows::LIFE_TABLE;
use crate::process::planning::rows::RunnerInstancesRow;
use crate::process::planning::rows::agent_row;
use crate::process::planning::rows::decode;
use crate::process::planning::rows::encode;

/// Instances kept in the row: more than can end while a planner waits for their leases to expire.
const MAX_STORED_INSTANCES: usize = 8;

/// Records the runner's instances in the row of this host, and holds the content of the row that
/// was read or written last.
pub struct InstanceRecorder {
    shared: Arc<NodeShared>,
    store: Arc<dyn RowStore>,
    name: RowName,
    instances: Vec<InstanceId>,
    version: RowVersion,
    retry_pace: RetryPace,
}

impl InstanceRecorder {
    /// Spawns a task that reads the row of the host whose agent is reached at `address`, and adds
    /// new instances. The task ends with the process.
    pub fn spawn(shared: Arc<NodeShared>, store: Arc<dyn RowStore>, address: &str) {
        let name = agent_row(LIFE_TABLE, address);
        let recorder = InstanceRecorder {
            shared,
            store,
            name,
            instances: Vec::new(),
            version: 0,
            retry_pace: RetryPace::default(),
        };
        tokio::spawn(recorder.run());
    }

    async fn run(mut self) {
        self.read_with_retry().await;
        let newest = self.instances.last().map_or("", String::as_str);
        log_event(
            Level::Info,
            "lives_read",
            &[("lives", &self.instances.len()), ("newest", &newest), ("version", &self.version)],
        );
        self.shared.state().on_earlier_instances(self.instances.clone());
        loop {
            self.shared.instance_changed.notified().await;
            while let Some(instance) = self.unrecorded_instance() {
                self.add(instance).await;
            }
        }
    }

    async fn read_with_retry(&mut self) {
        loop {
            match self.store.get(&self.name).await {
                Ok(row) => return self.adopt(row.as_ref()),
                Err(error) => self.pause_after(&error).await,
            }
        }
    }

    fn adopt(&mut self, row: Option<&StoredRow>) {
        let stored: Option<RunnerInstancesRow> = row.and_then(decode);
        self.instances = stored.unwrap_or_default().instances;
        self.version = row.filter(|row| row.value.is_some()).map_or(0, |row| row.version);
    }

    fn unrecorded_instance(&self) -> Option<InstanceId> {
        self.shared
            .state()
            .current_instance()
            .filter(|instance| !self.instances.contains(instance))
            .cloned()
    }

    async fn add(&mut self, instance: InstanceId) {
        let mut instances = self.instances.clone();
        instances.push(instance);
        let surplus = instances.len().saturating_sub(MAX_STORED_INSTANCES);
        instances.drain(..surplus);
        let row = RunnerInstancesRow { instances };
        let transaction = RowTransaction {
            expected: vec![(self.name.clone(), self.version)],
            puts: vec![(self.name.clone(), encode(&row))],
            removes: Vec::new(),
        };
        match self.store.commit(&transaction).await {
            Ok(version) => (self.instances, self.version) = (row.instances, version),
            Err(RowError::Conflict { rows }) => self.adopt(rows.first()),
            Err(error) => {
                self.pause_after(&error).await;
                self.read_with_retry().await;
            }
        }
    }

    /// Pauses before a call to the store is repeated. If an instance is not recorded, its work has to
    /// wait for the leases.
    async fn pause_after(&mut self, error: &RowError) {
        log_event(Level::Warn, "lives_not_kept", &[("error", error)]);
        let pause = self.retry_pace.on_failure(clock::now(), rand::random());
        tokio::time::sleep(pause).await;
    }
}
