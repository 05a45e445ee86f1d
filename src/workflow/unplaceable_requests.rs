//! Placement requests for which the current planning round has found no worker.
//!
//! With hundreds of waiting jobs, most requests resemble one that was just found unplaceable. Free
//! resources only shrink within a round. A request for the same or more resources of the same kind
//! is therefore skipped without a search.

use crate::ids::ImageName;
use crate::ids::ServiceName;
use crate::workflow::placement::PlacementRequest;
use crate::workflow::placement::RiskLimit;
use crate::workflow::spec::ResourceVector;
use crate::workflow::worker_speed::is_measurable;

/// The unplaceable requests of the current round.
#[derive(Clone, Debug)]
pub(crate) struct UnplaceableRequests {
    requests: Vec<UnplaceableRequest>,
    /// Whether ejected workers take tasks as probes, so that a task that cannot be one says nothing
    /// about the others.
    has_probes: bool,
}

#[derive(Clone, Debug)]
struct UnplaceableRequest {
    service: ServiceName,
    required_label: String,
    /// Image and risk limit of a best-effort task; `None` for other tasks.
    best_effort: Option<(ImageName, RiskLimit)>,
    resources: ResourceVector,
    /// Whether the task could have started as a probe on an ejected worker.
    is_measurable: bool,
}

impl UnplaceableRequests {
    /// Creates an empty list; `has_probes` tells whether speeds of workers are learned.
    pub(crate) fn new(has_probes: bool) -> UnplaceableRequests {
        UnplaceableRequests { requests: Vec::new(), has_probes }
    }

    /// Whether a request is known to be unplaceable in this round.
    pub(crate) fn covers(&self, request: &PlacementRequest<'_>) -> bool {
        is_generic(request) && self.requests.iter().any(|known| known.covers(request))
    }

    /// Records that no worker was found for a request.
    pub(crate) fn add(&mut self, request: &PlacementRequest<'_>) {
        if is_generic(request) {
            self.requests.push(UnplaceableRequest {
                service: request.service.to_string(),
                required_label: request.step.required_label.clone(),
                best_effort: best_effort_of(request).map(|(image, risk)| (image.to_string(), risk)),
                resources: request.step.resources,
                is_measurable: !self.has_probes || is_measurable(request.step),
            });
        }
    }
}

impl UnplaceableRequest {
    fn covers(&self, request: &PlacementRequest<'_>) -> bool {
        let best_effort = self.best_effort.as_ref().map(|(image, risk)| (image.as_str(), *risk));
        self.service == request.service
            && self.required_label == request.step.required_label
            && best_effort == best_effort_of(request)
            && request.step.resources.contains(&self.resources)
            && (self.is_measurable || !is_measurable(request.step))
    }
}

fn best_effort_of<'a>(request: &PlacementRequest<'a>) -> Option<(&'a str, RiskLimit)> {
    request.step.best_effort.then_some((request.step.image.as_str(), request.risk))
}

/// Whether a request has no restriction that is specific to its task: no rack, excluded worker,
/// ticket or limit per worker.
fn is_generic(request: &PlacementRequest<'_>) -> bool {
    let is_unrestricted = request.rack.is_none() && request.excluded_worker.is_none();
    is_unrestricted && !request.needs_ticket && request.step.max_per_worker == 0
}
