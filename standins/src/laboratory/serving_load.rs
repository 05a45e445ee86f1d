//! How the load of tasks that serve swings, and what tasks that fill add to it.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use rand_distr::Distribution;
use rand_distr::LogNormal;

/// Images that serve, about as many as planners see on the users' fleet of 74 workers.
pub const SERVING_IMAGES: usize = 25;
/// Images that fill, as many as planners see there.
pub const FILLING_IMAGES: usize = 14;
/// Load of a serving task without fills, in the mean over its swing: at its peak it is a little below its target.
const MEAN_LOAD: f64 = 0.48;
/// How far a load swings about its mean, as a share of it.
const LOAD_SWING: f64 = 0.6;
/// Time of one swing of a load.
const LOAD_PERIOD: Duration = Duration::from_secs(14);
/// Median of what a fill at full pace adds to a load. Planners learn 0.01 to 0.02 on the users' fleet, of pairs that they
/// let meet; with 0.04 as many fills are slowed here as there, on the same number of workers that serve.
const MEDIAN_ADDED: f64 = 0.04;
/// Standard deviation of the logarithm of that: a quarter of the pairs add 0.1 and more, one in sixty adds all.
const ADDED_SPREAD: f64 = 1.5;
/// Most that a fill adds.
const MOST_ADDED: f64 = 1.0;
/// How far that swings about its mean, as a share of it, and in which time.
const ADDED_SWING: f64 = 0.3;
/// See [`ADDED_SWING`].
const ADDED_PERIOD: Duration = Duration::from_secs(9);

/// What one pair of images does to each other.
#[derive(Clone, Copy, Debug)]
struct PairInterference {
    added: f64,
    phase: f64,
}

/// The true effects of all pairs of images, which decisions can only learn.
#[derive(Clone, Debug)]
pub struct PairEffects {
    pairs: Vec<PairInterference>,
}

impl PairEffects {
    /// Draws the effects of a world.
    ///
    /// ```
    /// use rand::SeedableRng;
    ///
    /// use greengagearch_standins::laboratory::serving_load::PairEffects;
    ///
    /// let effects = PairEffects::draw(&mut rand::rngs::StdRng::seed_from_u64(1));
    /// assert!(effects.added(0, 0, std::time::Duration::ZERO) >= 0.0);
    /// ```
    pub fn draw(rng: &mut StdRng) -> PairEffects {
        let added = LogNormal::new(MEDIAN_ADDED.ln(), ADDED_SPREAD).ok();
        let pairs = (0..SERVING_IMAGES * FILLING_IMAGES).map(|_| PairInterference {
            added: added.map_or(MEDIAN_ADDED, |added| added.sample(rng)).min(MOST_ADDED),
            phase: rng.random(),
        });
        PairEffects { pairs: pairs.collect() }
    }

    /// What one fill at full pace adds to the load of a serving task at a time.
    ///
    /// ```
    /// use rand::SeedableRng;
    ///
    /// use greengagearch_standins::laboratory::serving_load::PairEffects;
    ///
    /// let effects = PairEffects::draw(&mut rand::rngs::StdRng::seed_from_u64(1));
    /// assert!(effects.added(24, 6, std::time::Duration::from_secs(3)) <= 0.65);
    /// ```
    pub fn added(&self, serving: usize, filling: usize, at: Duration) -> f64 {
        let pair = self.pairs[serving * FILLING_IMAGES + filling];
        pair.added * (1.0 + ADDED_SWING * swing(at, ADDED_PERIOD, pair.phase))
    }
}

/// The load of the tasks of one step that serves, alike on all workers.
#[derive(Clone, Copy, Debug)]
pub struct StepLoad {
    phase: f64,
}

impl StepLoad {
    /// Draws the load of a step.
    ///
    /// ```
    /// use rand::SeedableRng;
    ///
    /// use greengagearch_standins::laboratory::serving_load::StepLoad;
    ///
    /// let load = StepLoad::draw(&mut rand::rngs::StdRng::seed_from_u64(1));
    /// assert!(load.at(std::time::Duration::ZERO) < 0.73);
    /// ```
    pub fn draw(rng: &mut StdRng) -> StepLoad {
        StepLoad { phase: rng.random() }
    }

    /// The load without fills at a time.
    ///
    /// ```
    /// use rand::SeedableRng;
    ///
    /// use greengagearch_standins::laboratory::serving_load::StepLoad;
    ///
    /// let load = StepLoad::draw(&mut rand::rngs::StdRng::seed_from_u64(1));
    /// assert!(load.at(std::time::Duration::ZERO) > 0.17);
    /// ```
    pub fn at(&self, at: Duration) -> f64 {
        MEAN_LOAD * (1.0 + LOAD_SWING * swing(at, LOAD_PERIOD, self.phase))
    }
}

fn swing(at: Duration, period: Duration, phase: f64) -> f64 {
    ((at.as_secs_f64() / period.as_secs_f64() + phase) * std::f64::consts::TAU).sin()
}
