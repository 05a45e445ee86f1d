//! A change of the cluster map whose write had no answer, and whose repeat was refused.

use std::time::Instant;

use greengagearch::connection::cluster_map::ClusterMap;
use greengagearch::connection::cluster_map::EntryMember;
use greengagearch::connection::cluster_view::ClusterView;
use greengagearch::connection::map_change::ChangeResult;
use greengagearch::connection::map_change::MapChange;

/// A generation that is newer than any map here.
const NEWEST: u64 = 9;

fn member(incarnation: u64) -> EntryMember {
    EntryMember { id: format!("e{incarnation}"), incarnation, address: String::new() }
}

/// The only member's view of the row at version 1, and a change that it may write.
fn view(now: Instant) -> (ClusterView, ClusterMap, MapChange) {
    let mut view = ClusterView::new(member(1), now);
    let map = ClusterMap::default().with_member(member(1));
    view.on_row(map.clone(), 1, now, now);
    let change = view.plan_join(member(2)).unwrap();
    (view, map, change)
}

fn write(view: &mut ClusterView, change: &MapChange, result: ChangeResult, now: Instant) {
    view.begin_change(change);
    view.end_change(change.clone(), result, now);
}

/// Guards against two holders of one lease: an entry gave grants for the old map, though its change of the map, of which only the repeat
/// was refused, took effect later.
#[test]
fn a_change_stays_open_when_only_its_repeat_was_refused() {
    let now = Instant::now();
    let (mut view, map, change) = view(now);
    write(&mut view, &change, ChangeResult::Ambiguous, now);
    write(&mut view, &change, ChangeResult::Refused, now);
    assert!(!view.may_grant("worker/w", 1, NEWEST), "the first write may still come");
    view.on_row(map, 1, now, now);
    assert!(!view.may_grant("worker/w", 1, NEWEST), "the row has not moved on");
    assert_eq!(view.plan_upkeep(now), Some(change.clone()), "it is tried again");
    view.on_row(change.map, 2, now, now);
    assert!(view.may_grant("worker/w", 1, NEWEST), "it has taken effect");
}

/// The baseline: a refusal of the only write settles the change.
#[test]
fn a_change_that_was_refused_at_once_is_settled() {
    let now = Instant::now();
    let (mut view, _, change) = view(now);
    write(&mut view, &change, ChangeResult::Refused, now);
    assert!(view.may_grant("worker/w", 1, NEWEST));
    assert_eq!(view.plan_upkeep(now), None);
}
