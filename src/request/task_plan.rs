//! Selection of the queued tasks that start next, and of their workers.
//!
//! Teams share the cluster by dominant resource fairness, each relative to its quota. Within a
//! team, urgent tasks start first, then those that have waited longest. A task that has waited for
//! a long time starts regardless of the teams' shares, which prevents starvation.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;

use crate::external::worker::ResourceAmount;
use crate::ids::TeamName;
use crate::ids::WorkerId;
use crate::process::interference::KindName;
use crate::request::placement_policy::PlacementPolicy;
use crate::request::placement_policy::WorkerView;
use crate::request::placement_policy::choose_worker;
use crate::request::placement_policy::dominant_share;

/// Waiting time after which a task starts regardless of the teams' shares.
const STARVATION_WAIT: Duration = Duration::from_secs(600);
/// Greatest number of queued tasks of one team that a plan considers, including those that fit on
/// no worker.
const MAX_TEAM_CANDIDATES: usize = 64;

/// A task that waits for a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedTask {
    /// Key of its row.
    pub key: String,
    /// The team on whose quota it runs.
    pub team: TeamName,
    /// Kind of the task.
    pub kind: KindName,
    /// Whether it starts before the team's other tasks.
    pub urgent: bool,
    /// Resources to commit to it.
    pub resources: ResourceAmount,
    /// Workers on which it failed or from which it was evicted; used only if no other worker fits.
    pub avoid: Vec<WorkerId>,
    /// How long it has waited.
    pub waited: Duration,
}

/// Quota and resource usage of a team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamUsage {
    /// Resources that its tasks may use at most.
    pub quota: ResourceAmount,
    /// Resources committed to its tasks.
    pub used: ResourceAmount,
}

/// A task start decided by the plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedStart {
    /// Key of the task's row.
    pub key: String,
    /// Worker on which it starts.
    pub worker: WorkerId,
    /// Resources committed to it.
    pub resources: ResourceAmount,
}

/// Plans at most `limit` starts, and commits their resources in `views` and in the usage of the
/// teams.
///
/// ```
/// use std::collections::BTreeMap;
///
/// use greengagearch::request::placement_policy::LeastLoaded;
/// use greengagearch::request::task_plan::plan_starts;
///
/// let mut teams = BTreeMap::new();
/// let starts = plan_starts(Vec::new(), &mut [], &mut teams, &LeastLoaded, 8, &mut rand::rng());
/// assert!(starts.is_empty());
/// ```
pub fn plan_starts(
    queued: Vec<QueuedTask>,
    views: &mut [WorkerView],
    teams: &mut BTreeMap<TeamName, TeamUsage>,
    policy: &dyn PlacementPolicy,
    limit: usize,
    rng: &mut dyn Rng,
) -> Vec<PlannedStart> {
    let mut starts = Vec::new();
    let mut queues = queues_by_team(queued);
    policy.prepare(views);
    while starts.len() < limit {
        let Some(team) = next_team(&queues, teams) else {
            break;
        };
        let Some(task) = queues.get_mut(&team).and_then(VecDeque::pop_front) else {
            break;
        };
        let usage = teams.entry(team).or_default();
        if !usage.quota.contains(&usage.used.plus(&task.resources)) {
            continue;
        }
        let chosen = choose_worker(policy, views, &task.resources, &task.kind, &task.avoid, rng);
        if let Some(index) = chosen {
            views[index].commit(&task.resources, &task.kind);
            policy.on_committed(&mut views[index], &task.kind);
            usage.used = usage.used.plus(&task.resources);
            starts.push(PlannedStart {
                key: task.key,
                worker: views[index].worker.clone(),
                resources: task.resources,
            });
        }
    }
    starts
}

/// Queued tasks by team: urgent tasks first, then those that have waited longest.
fn queues_by_team(mut queued: Vec<QueuedTask>) -> BTreeMap<TeamName, VecDeque<QueuedTask>> {
    queued.sort_by(|a, b| {
        let urgency = b.urgent.cmp(&a.urgent);
        urgency.then(b.waited.cmp(&a.waited)).then_with(|| a.key.cmp(&b.key))
    });
    let mut queues: BTreeMap<TeamName, VecDeque<QueuedTask>> = BTreeMap::new();
    for task in queued {
        let queue = queues.entry(task.team.clone()).or_default();
        if queue.len() < MAX_TEAM_CANDIDATES {
            queue.push_back(task);
        }
    }
    queues
}

/// Team whose first task starts next: long waits come first, then urgent tasks, then the team with
/// the smallest dominant share.
fn next_team(
    queues: &BTreeMap<TeamName, VecDeque<QueuedTask>>,
    teams: &BTreeMap<TeamName, TeamUsage>,
) -> Option<TeamName> {
    let first_tasks = queues.iter().filter_map(|(team, queue)| Some((team, queue.front()?)));
    let ranked = first_tasks.map(|(team, task)| {
        let usage = teams.get(team).copied().unwrap_or_default();
        let used = dominant_share(&usage.used, &usage.quota);
        let rank = (task.waited < STARVATION_WAIT, !task.urgent, used);
        (team, rank)
    });
    let first =
        ranked.min_by(|(_, a), (_, b)| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)));
    first.map(|(team, _)| team.clone())
}

#[cfg(test)]
mod tests {
    use rand::SeedableRng;
    use rand::rngs::StdRng;

    use super::*;
    use crate::request::placement_policy::LeastLoaded;

    fn amount(millicores: u64) -> ResourceAmount {
        ResourceAmount { millicores, memory_mib: millicores, accelerators: 0 }
    }

    fn view(worker: &str, free: u64) -> WorkerView {
        WorkerView { free: amount(free), ..WorkerView::empty(worker, amount(1_000)) }
    }

    fn task(key: &str, team: &str, urgent: bool, waited: u64) -> QueuedTask {
        QueuedTask {
            key: key.to_string(),
            team: team.to_string(),
            kind: "k".to_string(),
            urgent,
            resources: amount(500),
            avoid: Vec::new(),
            waited: Duration::from_secs(waited),
        }
    }

    fn team_usages(quotas: &[(&str, u64)]) -> BTreeMap<TeamName, TeamUsage> {
        let usage = |quota: u64| TeamUsage { quota: amount(quota), used: amount(0) };
        quotas.iter().map(|(team, quota)| (team.to_string(), usage(*quota))).collect()
    }

    fn plan(
        queued: Vec<QueuedTask>,
        views: &mut [WorkerView],
        teams: &mut BTreeMap<TeamName, TeamUsage>,
    ) -> Vec<String> {
        let mut rng = StdRng::seed_from_u64(1);
        let starts = plan_starts(queued, views, teams, &LeastLoaded, 99, &mut rng);
        starts.into_iter().map(|start| start.key).collect()
    }

    #[test]
    fn starts_exceed_neither_workers_nor_quota() {
        let queued = (0..9).map(|n| task(&n.to_string(), "t", false, n)).collect();
        let mut views = [view("w1", 1_000), view("w2", 700)];
        let mut teams = team_usages(&[("t", 1_200)]);
        assert_eq!(plan(queued, &mut views, &mut teams).len(), 2);
        assert_eq!(teams["t"].used, amount(1_000));
    }

    #[test]
    fn urgent_tasks_start_first_then_teams_by_share() {
        let queued = vec![
            task("a1", "a", false, 50),
            task("a2", "a", false, 40),
            task("b1", "b", false, 1),
            task("b2", "b", true, 0),
        ];
        let mut views = [view("w1", 1_000), view("w2", 500)];
        let mut teams = team_usages(&[("a", 5_000), ("b", 5_000)]);
        assert_eq!(plan(queued, &mut views, &mut teams), ["b2", "a1", "a2"]);
    }

    #[test]
    fn a_long_wait_overrides_shares_and_urgency() {
        let queued = vec![task("old", "a", false, 700), task("new", "b", true, 0)];
        let mut views = [view("w1", 500)];
        let mut teams = team_usages(&[("a", 5_000), ("b", 5_000)]);
        teams.get_mut("a").unwrap().used = amount(4_000);
        assert_eq!(plan(queued, &mut views, &mut teams), ["old"]);
    }

    #[test]
    fn a_task_that_fits_on_no_worker_does_not_block_others() {
        let mut big = task("big", "a", true, 99);
        big.resources = amount(2_000);
        let mut views = [view("w1", 500)];
        let mut teams = team_usages(&[("a", 5_000)]);
        assert_eq!(
            plan(vec![big, task("small", "a", false, 1)], &mut views, &mut teams),
            ["small"]
        );
    }
}
