//! How much bulk work is served beside tasks that serve, from workers with room to workers without, in the laboratory.

use std::thread;
use std::time::Duration;

use crate::laboratory::goodput::GoodputReport;
use crate::laboratory::shared_fleet::SharedFleet;
use crate::laboratory::shared_fleet::WorldSettings;
use crate::laboratory::shared_fleet::jobs_for_cores;

/// Worlds that are played for each row.
const SEEDS: u64 = 16;
/// Cores of a worker in the mean: each third one has half as much more than 16.
const WORKER_CORES: f64 = 16.0 * 7.0 / 6.0;
/// Workers, share of their guarded processors that serves, offered bulk work against all processors, and the bound on
/// waiting.
const WORLDS: [(usize, f64, f64, Option<f64>); 9] = [
    (11, 0.6, 0.5, None),
    (11, 0.8, 0.41, None),
    (11, 0.9, 0.41, None),
    (11, 0.9, 0.41, Some(1.5)),
    (11, 0.9, 0.41, Some(3.0)),
    (74, 0.85, 0.41, None),
    (74, 0.9, 0.41, None),
    (74, 0.95, 0.41, None),
    (74, 0.95, 0.5, None),
];

/// Prints a row for each kind of world: means over the seeds, with the standard error of what is earned.
pub fn run() {
    println!("workers serving offered wait  earned (error)  bound   done  over target  largest");
    for (workers, serving_share, offered, longest_wait) in WORLDS {
        let settings = WorldSettings {
            workers,
            serving_share,
            jobs_per_s: jobs_for_cores(workers as f64 * WORKER_CORES * offered),
            span: Duration::from_secs(34),
            rest: Duration::from_secs(14),
            longest_wait,
        };
        let reports = play(settings);
        let earned = mean(&reports, GoodputReport::earned_share);
        let spread = mean(&reports, |one| (one.earned_share() - earned).powi(2));
        println!(
            "{workers:7} {serving_share:7.2} {offered:7.2} {:>4}  {earned:6.3} ({:.3})  {:6.3} {:6.3}  {:.4}       {:6.2}",
            longest_wait.map_or("-".to_string(), |wait| wait.to_string()),
            (spread / (reports.len() as f64 - 1.0)).sqrt(),
            mean(&reports, |one| one.bound / one.worth),
            mean(&reports, GoodputReport::done_share),
            mean(&reports, |one| one.over_target),
            mean(&reports, GoodputReport::largest_ratio),
        );
    }
}

/// One world a thread, as many as there are seeds: each takes a few seconds of one core.
fn play(settings: WorldSettings) -> Vec<GoodputReport> {
    let play_one = |seed| thread::spawn(move || SharedFleet::open(settings, seed).play());
    let played: Vec<_> = (1..=SEEDS).map(play_one).collect();
    played.into_iter().filter_map(|one| one.join().ok()).collect()
}

fn mean(reports: &[GoodputReport], figure: impl Fn(&GoodputReport) -> f64) -> f64 {
    reports.iter().map(figure).sum::<f64>() / reports.len().max(1) as f64
}
