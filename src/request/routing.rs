//! Routing policies, which choose an endpoint for a request.

use std::str::FromStr;

use rand::Rng;
use rand::RngExt;
use snafu::Snafu;

/// Policy for choosing among endpoints with a free slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// A random endpoint.
    Random,
    /// The endpoint with the smallest load.
    LeastLoaded,
    /// The less loaded of two random endpoints (Mitzenmacher, "The Power of Two Choices in
    /// Randomized Load Balancing", 2001).
    #[default]
    TwoChoices,
    /// Two choices within the entry's failure domain; other domains only when it has no free
    /// endpoint.
    LocalFirst,
}

/// The text is not the name of a routing policy.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("expected one of random, least-loaded, two-choices, local-first"))]
pub struct UnknownRoutingPolicy;

impl FromStr for RoutingPolicy {
    type Err = UnknownRoutingPolicy;

    fn from_str(text: &str) -> Result<RoutingPolicy, UnknownRoutingPolicy> {
        match text {
            "random" => Ok(RoutingPolicy::Random),
            "least-loaded" => Ok(RoutingPolicy::LeastLoaded),
            "two-choices" => Ok(RoutingPolicy::TwoChoices),
            "local-first" => Ok(RoutingPolicy::LocalFirst),
            _ => Err(UnknownRoutingPolicy),
        }
    }
}

/// An endpoint that can be chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteCandidate {
    /// Position among the service's endpoints.
    pub index: usize,
    /// Whether it is in the failure domain of the entry that chooses.
    pub is_local: bool,
    /// Expected work at the endpoint: the requests in flight and the new one, weighted by the mean
    /// response time of the endpoint.
    pub load: f64,
}

/// Chooses one of the candidates; returns its index among the service's endpoints.
///
/// ```
/// use rand::SeedableRng;
/// use rand::rngs::StdRng;
///
/// use greengagearch::request::routing::RouteCandidate;
/// use greengagearch::request::routing::RoutingPolicy;
/// use greengagearch::request::routing::choose;
///
/// let busy = RouteCandidate { index: 0, is_local: true, load: 7.0 };
/// let idle = RouteCandidate { index: 1, is_local: true, load: 0.0 };
/// let mut rng = StdRng::seed_from_u64(1);
/// assert_eq!(choose(RoutingPolicy::LeastLoaded, &[busy, idle], &mut rng), Some(1));
/// ```
pub fn choose<R: Rng>(
    policy: RoutingPolicy,
    candidates: &[RouteCandidate],
    rng: &mut R,
) -> Option<usize> {
    match policy {
        RoutingPolicy::Random => random_candidate(candidates, rng).map(|candidate| candidate.index),
        RoutingPolicy::LeastLoaded => least_loaded(candidates, rng),
        RoutingPolicy::TwoChoices => two_choices(candidates, rng),
        RoutingPolicy::LocalFirst => local_first(candidates, rng),
    }
}

fn random_candidate<'a, R: Rng>(
    candidates: &'a [RouteCandidate],
    rng: &mut R,
) -> Option<&'a RouteCandidate> {
    if candidates.is_empty() {
        return None;
    }
    candidates.get(rng.random_range(0..candidates.len()))
}

/// Starts at a random candidate, so that ties are spread over the endpoints.
fn least_loaded<R: Rng>(candidates: &[RouteCandidate], rng: &mut R) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    let (before, after) = candidates.split_at(rng.random_range(0..candidates.len()));
    let rotated = after.iter().chain(before);
    rotated.min_by(|a, b| a.load.total_cmp(&b.load)).map(|candidate| candidate.index)
}

/// Draws two different candidates: drawn with replacement, the most loaded endpoint could be
/// compared with itself and win.
fn two_choices<R: Rng>(candidates: &[RouteCandidate], rng: &mut R) -> Option<usize> {
    if candidates.len() < 2 {
        return candidates.first().map(|only| only.index);
    }
    let first = rng.random_range(0..candidates.len());
    let step = rng.random_range(1..candidates.len());
    let second = (first + step) % candidates.len();
    let (first, second) = (candidates[first], candidates[second]);
    let better = if second.load < first.load { second } else { first };
    Some(better.index)
}

fn local_first<R: Rng>(candidates: &[RouteCandidate], rng: &mut R) -> Option<usize> {
    let local: Vec<RouteCandidate> =
        candidates.iter().copied().filter(|candidate| candidate.is_local).collect();
    two_choices(&local, rng).or_else(|| two_choices(candidates, rng))
}

#[cfg(test)]
mod tests {
    use rand::SeedableRng;
    use rand::rngs::StdRng;

    use super::*;

    fn candidate(index: usize, is_local: bool, load: f64) -> RouteCandidate {
        RouteCandidate { index, is_local, load }
    }

    #[test]
    fn the_most_loaded_endpoint_is_never_chosen() {
        let candidates: Vec<RouteCandidate> = (0..4)
            .map(|index| candidate(index, true, if index == 2 { 5.0 } else { 1.0 }))
            .collect();
        let mut rng = StdRng::seed_from_u64(1);
        for way in
            [RoutingPolicy::TwoChoices, RoutingPolicy::LocalFirst, RoutingPolicy::LeastLoaded]
        {
            for _ in 0..200 {
                assert_ne!(choose(way, &candidates, &mut rng), Some(2), "{way:?}");
            }
        }
    }

    #[test]
    fn endpoints_of_other_domains_are_chosen_only_without_a_local_one() {
        let mut rng = StdRng::seed_from_u64(1);
        let mixed = [candidate(0, false, 0.0), candidate(1, true, 9.0)];
        assert_eq!(choose(RoutingPolicy::LocalFirst, &mixed, &mut rng), Some(1));
        assert_eq!(choose(RoutingPolicy::LocalFirst, &mixed[..1], &mut rng), Some(0));
        assert_eq!(choose(RoutingPolicy::LocalFirst, &[], &mut rng), None);
    }
}
