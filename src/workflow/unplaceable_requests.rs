//! Needs for which a round of planning has found no worker.
//!
//! With hundreds of jobs that wait, most ask for what another one has just not found. Room only shrinks within a
//! round, so that whoever asks for as much or more of the same kind is not searched for again.

use crate::ids::ImageName;
use crate::ids::ServiceName;
use crate::workflow::placement::PlacementNeed;
use crate::workflow::placement::RiskLimit;
use crate::workflow::spec::ResourceVector;

/// What was not found in a round.
#[derive(Debug, Default)]
pub(crate) struct UnplaceableRequests {
    known: Vec<UnplaceableRequest>,
}

#[derive(Debug)]
struct UnplaceableRequest {
    service: ServiceName,
    required_label: String,
    /// Of tasks that fill: their image, and how far they may go.
    filling: Option<(ImageName, RiskLimit)>,
    resources: ResourceVector,
}

impl UnplaceableRequests {
    /// Whether nothing will be found in this round.
    pub(crate) fn covers(&self, need: &PlacementNeed<'_>) -> bool {
        is_shared(need) && self.known.iter().any(|known| known.covers(need))
    }

    /// Takes note that nothing was found.
    pub(crate) fn add(&mut self, need: &PlacementNeed<'_>) {
        if is_shared(need) {
            self.known.push(UnplaceableRequest {
                service: need.service.to_string(),
                required_label: need.step.required_label.clone(),
                filling: filling_of(need).map(|(image, risk)| (image.to_string(), risk)),
                resources: need.step.resources,
            });
        }
    }
}

impl UnplaceableRequest {
    fn covers(&self, need: &PlacementNeed<'_>) -> bool {
        let filling = self.filling.as_ref().map(|(image, risk)| (image.as_str(), *risk));
        self.service == need.service
            && self.required_label == need.step.required_label
            && filling == filling_of(need)
            && need.step.resources.contains(&self.resources)
    }
}

fn filling_of<'a>(need: &PlacementNeed<'a>) -> Option<(&'a str, RiskLimit)> {
    need.step.best_effort.then_some((need.step.image.as_str(), need.risk))
}

/// Whether a need depends on nothing that is its task's alone.
fn is_shared(need: &PlacementNeed<'_>) -> bool {
    let is_free = need.rack.is_none() && need.not_on.is_none();
    is_free && !need.needs_ticket && need.step.max_per_worker == 0
}
