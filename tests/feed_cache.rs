//! What a process that watches the store tells those that follow it. Played without a network.

use std::time::Duration;
use std::time::Instant;

use greengagearch::connection::feed_cache::FeedCache;
use greengagearch::external::row_store::RowError;
use greengagearch::external::row_store::RowName;
use greengagearch::external::row_store::StoredRow;

const TABLE: &str = "ownership";

fn row(key: &str, version: u64, bytes: usize) -> StoredRow {
    StoredRow { name: RowName::new(TABLE, "main", key), value: Some(vec![7; bytes]), version }
}

/// A cache that was read at version 10 and has seen version 12 since.
fn cache(now: Instant) -> FeedCache {
    let mut cache = FeedCache::default();
    cache.reset(TABLE, &[row("owner", 4, 10), row("pulse", 9, 10)], 10, now);
    cache.apply(TABLE, &[row("pulse", 12, 10)], 12, now);
    cache
}

#[test]
fn a_follower_gets_the_rows_that_changed_after_its_version() {
    let now = Instant::now();
    let page = cache(now).changes_after(TABLE, 10, now).unwrap();
    assert_eq!(page.rows, [row("pulse", 12, 10)]);
    assert_eq!(page.version, 12);
    assert!(cache(now).changes_after(TABLE, 12, now).unwrap().rows.is_empty());
}

/// Guards against a removal that a follower never hears of: rows that were removed before the first read are unknown.
#[test]
fn a_follower_with_an_older_version_has_to_read_the_store() {
    let now = Instant::now();
    assert_eq!(cache(now).changes_after(TABLE, 9, now), Err(RowError::HistoryGone));
    assert_eq!(cache(now).changes_after("peers", 12, now), Err(RowError::HistoryGone));
}

#[test]
fn a_removed_row_is_told_as_removed() {
    let now = Instant::now();
    let mut cache = cache(now);
    let removed = StoredRow { value: None, ..row("owner", 13, 0) };
    cache.apply(TABLE, std::slice::from_ref(&removed), 13, now);
    assert_eq!(cache.changes_after(TABLE, 12, now).unwrap().rows, [removed]);
}

/// Guards against a row that goes back when a late page arrives.
#[test]
fn an_older_page_changes_nothing() {
    let now = Instant::now();
    let mut cache = cache(now);
    cache.apply(TABLE, &[row("pulse", 11, 10)], 11, now - Duration::from_secs(1));
    let page = cache.changes_after(TABLE, 10, now).unwrap();
    assert_eq!((page.rows, page.version), (vec![row("pulse", 12, 10)], 12));
    assert_eq!(page.age, Duration::ZERO);
}

/// Guards against a follower that believes a watcher which is out of touch with the store.
#[test]
fn the_age_counts_from_the_last_confirmation() {
    let now = Instant::now();
    let later = now + Duration::from_millis(900);
    assert_eq!(cache(now).changes_after(TABLE, 12, later).unwrap().age, later - now);
}

/// Guards against a thin link that is filled by one configuration for each follower.
#[test]
fn a_large_row_is_named_and_not_passed_on() {
    let now = Instant::now();
    let mut cache = cache(now);
    cache.apply(TABLE, &[row("large", 13, 50_000)], 13, now);
    let page = cache.changes_after(TABLE, 12, now).unwrap();
    assert!(page.rows.is_empty());
    assert_eq!(page.omitted, [RowName::new(TABLE, "main", "large")]);
}
