//! The node agents that the planner's loop is linked to: their registrations, reports and orders.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::time::Instant;

use log::Level;

use crate::connection::node_protocol::NodeOrder;
use crate::external::row_store::StoredRow;
use crate::ids::InstanceId;
use crate::process::clock;
use crate::process::logging::log_event;
use crate::process::planning::node_link::LinkEvent;
use crate::process::planning::node_link::NodeLink;
use crate::process::planning::node_link::OrderBatch;
use crate::process::planning::planner_loop::PlannerLoop;
use crate::process::planning::planner_loop::StepResult;
use crate::process::planning::rows::NodeRow;
use crate::process::planning::rows::decode;
use crate::process::planning::rows::is_usable;
use crate::workflow::grant::MAX_LEASE;
use crate::workflow::planner::AddressedOrder;
use crate::workflow::planner::Planner;

/// Maximum number of disputed instances that are remembered in order to log each once. More can
/// only come from a faulty sender; the set is then cleared.
const MAX_DISPUTED_INSTANCES: usize = 256;

/// Maximum number of agents that are contacted for the first time at once. It bounds the work that a
/// takeover in a large fleet brings in one step of the loop: on an eighth of a core, the first
/// contact with so many agents takes about as long as the time between two heartbeats.
pub(super) const MAX_FIRST_CONTACTS: usize = 128;

/// The node agent that has reported a runner instance as its own.
pub(super) struct AgentContact {
    address: String,
    /// When its last such report was processed.
    reported_at: Instant,
}

impl PlannerLoop {
    /// Opens a link to each agent that has registered.
    pub(super) fn on_nodes(&mut self, rows: &[StoredRow]) {
        if rows.is_empty() {
            return;
        }
        for row in rows {
            if row.value.is_none() {
                self.links.remove(&row.name.key);
            }
            // A malformed row of another writer does not end the link to an agent that has
            // registered under that key.
            let Some(node) = decode::<NodeRow>(row).filter(|node| is_usable(row, &node.address))
            else {
                continue;
            };
            if let Some(link) = self.links.get(&node.address) {
                link.on_registered();
                continue;
            }
            let (shared, event_sender) = (self.shared.clone(), self.event_sender.clone());
            let first_contacts = self.first_contacts.clone();
            let epoch = self.ownership.owner.epoch;
            let address = node.address.clone();
            let link = NodeLink::spawn(shared, epoch, node.address, event_sender, first_contacts);
            self.links.insert(address, link);
        }
        if self.uncontacted.is_none() {
            self.uncontacted = Some(self.links.keys().cloned().collect());
        }
    }

    /// Whether all agents that were found at the takeover have been contacted, or could not be
    /// reached.
    pub(super) fn has_settled(&self) -> bool {
        self.uncontacted.as_ref().is_some_and(BTreeSet::is_empty)
    }

    /// Records the end of the first attempt to contact an agent.
    fn on_first_contact(&mut self, address: &str) {
        let Some(uncontacted) = self.uncontacted.as_mut() else {
            return;
        };
        if uncontacted.remove(address) && uncontacted.is_empty() {
            let (epoch, agents) = (self.ownership.owner.epoch, self.links.len());
            let elapsed_ms = clock::elapsed(self.ownership.answered_at).as_millis();
            log_event(
                Level::Info,
                "agents_contacted",
                &[("epoch", &epoch), ("agents", &agents), ("after_ms", &elapsed_ms)],
            );
        }
    }

    /// Handles an event of a link. The error is the reason why planning ends.
    pub(super) fn on_link_event(&mut self, event: LinkEvent) -> StepResult {
        match event {
            LinkEvent::Report { address, mut report, is_new_link, first_contact: _ } => {
                self.on_first_contact(&address);
                report.former.retain(|instance| self.may_report_ended(&address, instance));
                report.crashes.retain(|crash| report.former.contains(&crash.instance));
                let runner =
                    report.runner.take_if(|runner| !self.is_agent_of(&address, &runner.instance));
                if runner.is_some() {
                    report.snapshot = None;
                }
                if let Some(runner) = &report.runner {
                    let contact = AgentContact { address, reported_at: clock::now() };
                    self.agent_contacts.insert(runner.instance.clone(), contact);
                }
                self.with_planner(|planner| planner.on_report(*report, is_new_link));
                Ok(())
            }
            LinkEvent::Unreachable { address } => {
                self.on_first_contact(&address);
                Ok(())
            }
            LinkEvent::Replaced(newest) if newest.epoch > self.ownership.owner.epoch => {
                Err(format!("an agent has received calls of epoch {}", newest.epoch))
            }
            // The event comes from an old link, which a newer link of this planner to the same
            // agent has replaced.
            LinkEvent::Replaced(_) => Ok(()),
        }
    }

    /// Whether an agent may report that a runner instance has ended: not if the instance is known
    /// to run at another agent. An agent gets the name of such an instance from a heartbeat that
    /// another program sent, or that was sent to the wrong host.
    fn may_report_ended(&mut self, address: &str, instance: &InstanceId) -> bool {
        let known = self.agent_contacts.get(instance);
        if known.is_none_or(|known| known.address == address) {
            return true;
        }
        self.log_dispute(address, instance);
        false
    }

    /// Whether an agent may report a runner instance as its own: not if another agent has done so
    /// recently, since its leases may still be valid.
    fn is_agent_of(&mut self, address: &str, instance: &InstanceId) -> bool {
        let known = self.agent_contacts.get(instance);
        let is_agent = known.is_none_or(|known| {
            known.address == address || clock::elapsed(known.reported_at) > MAX_LEASE
        });
        if !is_agent {
            self.log_dispute(address, instance);
        }
        is_agent
    }

    /// Logs that an agent reports an instance that runs at another one.
    fn log_dispute(&mut self, address: &str, instance: &InstanceId) {
        if self.disputed_instances.len() >= MAX_DISPUTED_INSTANCES {
            self.disputed_instances.clear();
        }
        if self.disputed_instances.insert((instance.clone(), address.to_string())) {
            let known = self.agent_contacts.get(instance);
            let known = known.map_or("", |known| known.address.as_str());
            let fields: [(&str, &dyn Display); 3] =
                [("instance", instance), ("agent", &address), ("known_at", &known)];
            log_event(Level::Warn, "foreign_life_ignored", &fields);
        }
    }

    /// Logs the starts among the orders that are about to be sent, with the one whose job is known
    /// for the longest time without a confirmation.
    fn log_starts(&self, orders: &[AddressedOrder]) {
        let starts = orders.iter().filter_map(|(_, order)| match order {
            NodeOrder::Start(start) => Some(&start.traits.task),
            NodeOrder::Stop(..) | NodeOrder::Describe(_) => None,
        });
        let ages = self.with_planner(|planner| {
            starts.clone().map(|task| (planner.job_age(&task.job), task)).max()
        });
        let Some((age, oldest)) = ages.flatten() else {
            return;
        };
        self.shared.metrics.start_knowledge_age.observe(age.as_secs_f64());
        let (epoch, starts) = (self.ownership.owner.epoch, starts.count());
        log_event(
            Level::Info,
            "starts_sent",
            &[
                ("starts", &starts),
                ("oldest", oldest),
                ("jobs_age_ms", &age.as_millis()),
                ("epoch", &epoch),
            ],
        );
    }

    /// Sends the planner's orders over the links of their agents.
    pub(super) fn send_orders(&mut self) {
        let orders = self.with_planner(Planner::take_orders).unwrap_or_default();
        self.log_starts(&orders);
        let mut batches: BTreeMap<InstanceId, Vec<NodeOrder>> = BTreeMap::new();
        for (instance, order) in orders {
            batches.entry(instance).or_default().push(order);
        }
        for (instance, orders) in batches {
            let numbered =
                self.with_planner(|planner| planner.assign_order_number(&instance, &orders));
            let Some(number) = numbered.flatten() else {
                continue;
            };
            let contact = self.agent_contacts.get(&instance);
            let link = contact.and_then(|contact| self.links.get(&contact.address));
            if let Some(link) = link {
                // If the link has ended, a new one replaces it and the planner sends the orders
                // again.
                let _ = link.orders.send(OrderBatch { instance, number, orders });
            }
        }
    }
}
