//! Needs for which a round of planning has found no worker.
//!
//! With hundreds of jobs that wait, most ask for what another one has just not found. Room only shrinks within a
//! round, so that whoever asks for as much or more of the same kind is not searched for again.

use crate::ids::ImageName;
use crate::ids::ServiceName;
use crate::workflow::placement::PlacementRequest;
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
    pub(crate) fn covers(&self, request: &PlacementRequest<'_>) -> bool {
        is_shared(request) && self.known.iter().any(|known| known.covers(request))
    }

    /// Takes note that nothing was found.
    pub(crate) fn add(&mut self, request: &PlacementRequest<'_>) {
        if is_shared(request) {
            self.known.push(UnplaceableRequest {
                service: request.service.to_string(),
                required_label: request.step.required_label.clone(),
                filling: filling_of(request).map(|(image, risk)| (image.to_string(), risk)),
                resources: request.step.resources,
            });
        }
    }
}

impl UnplaceableRequest {
    fn covers(&self, request: &PlacementRequest<'_>) -> bool {
        let filling = self.filling.as_ref().map(|(image, risk)| (image.as_str(), *risk));
        self.service == request.service
            && self.required_label == request.step.required_label
            && filling == filling_of(request)
            && request.step.resources.contains(&self.resources)
    }
}

fn filling_of<'a>(request: &PlacementRequest<'a>) -> Option<(&'a str, RiskLimit)> {
    request.step.best_effort.then_some((request.step.image.as_str(), request.risk))
}

/// Whether a need depends on nothing that is its task's alone.
fn is_shared(request: &PlacementRequest<'_>) -> bool {
    let is_free = request.rack.is_none() && request.excluded_worker.is_none();
    is_free && !request.needs_ticket && request.step.max_per_worker == 0
}
