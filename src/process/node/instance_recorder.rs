//! Keeps in the store which lives the runner on this host had.
//!
//! After a loss of power a new agent meets a new life of the runner. It tells the planner that the lives before
//! are over, so that their work goes on at once and not when the longest lease has expired.

use std::sync::Arc;
use std::time::Duration;

use log::Level;

use crate::external::row_store::RowError;
use crate::external::row_store::RowName;
use crate::external::row_store::RowStore;
use crate::external::row_store::RowTransaction;
use crate::external::row_store::StoredRow;
use crate::ids::InstanceId;
use crate::ids::RowVersion;
use crate::process::logging::log_event;
use crate::process::node::shared::NodeShared;
use crate::process::planning::rows::HOST_PARTITION;
use crate::process::planning::rows::LIFE_TABLE;
use crate::process::planning::rows::RunnerInstancesRow;
use crate::process::planning::rows::decode;
use crate::process::planning::rows::encode;

/// Lives that are kept: more than end while one planner waits for leases.
const KEPT_LIVES: usize = 8;
/// Pause before the store is asked again; a life that is not stored only costs its work the wait for leases.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The row of this host, as far as it is known.
pub struct InstanceRecorder {
    shared: Arc<NodeShared>,
    store: Arc<dyn RowStore>,
    name: RowName,
    instances: Vec<InstanceId>,
    version: RowVersion,
}

impl InstanceRecorder {
    /// Reads the row of the host whose agent is reached at `address`, and adds lives that begin. The task ends
    /// with the process.
    pub fn spawn(shared: Arc<NodeShared>, store: Arc<dyn RowStore>, address: &str) {
        let name = RowName::new(LIFE_TABLE, HOST_PARTITION, address);
        let keeper = InstanceRecorder { shared, store, name, instances: Vec::new(), version: 0 };
        tokio::spawn(keeper.run());
    }

    async fn run(mut self) {
        self.read_until_known().await;
        let newest = self.instances.last().map_or("", String::as_str);
        log_event(
            Level::Info,
            "lives_read",
            &[("lives", &self.instances.len()), ("newest", &newest), ("version", &self.version)],
        );
        self.shared.state().on_earlier_instances(self.instances.clone());
        loop {
            self.shared.instance_changed.notified().await;
            while let Some(life) = self.unrecorded_instance() {
                self.add(life).await;
            }
        }
    }

    async fn read_until_known(&mut self) {
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
            .filter(|life| !self.instances.contains(life))
            .cloned()
    }

    async fn add(&mut self, life: InstanceId) {
        let mut instances = self.instances.clone();
        instances.push(life);
        let surplus = instances.len().saturating_sub(KEPT_LIVES);
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
                self.read_until_known().await;
            }
        }
    }

    async fn pause_after(&self, error: &RowError) {
        log_event(Level::Warn, "lives_not_kept", &[("error", error)]);
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
