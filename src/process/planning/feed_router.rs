//! Watches of the store's tables, directly or through another planner process.
//!
//! A process follows a watcher of its failure domain, which
//! [`HostRoster`](crate::connection::host_roster::HostRoster) determines, and falls back to the store
//! itself whenever the watcher does not answer or is out of touch with the store, so that it learns
//! of a change as soon as it would by its own watch. It watches the store itself, too, while a call
//! of its own has no response, because the store may reject single hosts.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;
use tokio::time::timeout;

use crate::connection::feed_cache::FeedCache;
use crate::connection::feed_cache::RelayedPage;
use crate::connection::planner_protocol::PlannerRpcClient;
use crate::connection::rpc_client::ConnectionCache;
use crate::connection::rpc_client::call_within;
use crate::external::observed_store::ObservedStore;
use crate::external::row_store::FeedPage;
use crate::external::row_store::RowError;
use crate::external::row_store::RowStore;
use crate::external::row_store::StoredRow;
use crate::ids::RowVersion;
use crate::process::clock;
use crate::process::planning::rows::PEER_TABLE;
use crate::process::planning::rows::PULSE_KEY;

/// Time beyond the requested wait within which a watcher has to respond.
const RESPONSE_MARGIN: Duration = Duration::from_millis(400);
/// Timeout of a connection to a watcher; the round-trip time is about a millisecond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which a watcher that did not serve a call is not asked again.
const AVOIDANCE: Duration = Duration::from_secs(3);
/// Time beyond the requested wait within which the store responds. A response that this process
/// receives later may have been in a buffer while the process was suspended, and only confirms the
/// state at the time of the call. A watcher whose state was not confirmed for that long is out of
/// touch with the store, so that a follower learns of a change as soon as by its own watch.
const STORE_MARGIN: Duration = Duration::from_millis(700);

/// A call for the changes of a table.
#[derive(Clone, Copy, Debug)]
pub struct FeedCall<'a> {
    /// The table.
    pub table: &'a str,
    /// Version after which changes are asked for.
    pub after: RowVersion,
    /// Time to wait for changes.
    pub wait: Duration,
    /// Maximum time that a call for this table waits; watchers confirm their state that often.
    pub max_wait: Duration,
}

/// Changes of a table.
#[derive(Clone, Debug)]
pub struct ConfirmedPage {
    /// The changed rows, and the version up to which changes are included.
    pub page: FeedPage,
    /// When the store has confirmed that there are no others.
    pub confirmed_at: Instant,
}

/// Watches of the store's tables, directly or through other processes.
pub struct FeedRouter {
    cache: Mutex<FeedCache>,
    /// Notified of each change of the cache.
    changes: watch::Sender<()>,
    watchers: ConnectionCache<PlannerRpcClient>,
    /// Watchers that did not serve a call, each with the time until which it is not asked again.
    avoided: Mutex<HashMap<String, Instant>>,
    /// Mean response time of the store, as the watcher that was asked last has measured it.
    relayed_latency: Mutex<Duration>,
}

impl Default for FeedRouter {
    fn default() -> FeedRouter {
        FeedRouter {
            cache: Mutex::default(),
            changes: watch::channel(()).0,
            watchers: ConnectionCache::default(),
            avoided: Mutex::default(),
            relayed_latency: Mutex::default(),
        }
    }
}

impl FeedRouter {
    /// Records rows of a table that were read from the store at a version, with a call that was sent
    /// at `sent_at`.
    pub fn on_read(&self, table: &str, rows: &[StoredRow], version: RowVersion, sent_at: Instant) {
        self.cache().reset(table, rows, version, sent_at);
        self.changes.send_replace(());
    }

    /// Mean time that the store takes to respond, as measured by a watcher; zero if it is unknown.
    pub fn relayed_latency(&self) -> Duration {
        *self.relayed_latency.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for changes of a table, through one of `sources` or, if there is none that serves the
    /// call, by a call to the store.
    ///
    /// # Errors
    ///
    /// As [`RowStore::feed`].
    pub async fn feed(
        &self,
        store: &ObservedStore,
        sources: Vec<String>,
        call: FeedCall<'_>,
    ) -> Result<ConfirmedPage, RowError> {
        // A call of this process without a response is a reason to find out at once whether the
        // store answers this host.
        if !sources.is_empty() && !store.health().has_responded() {
            return self.feed_directly(store, FeedCall { wait: Duration::ZERO, ..call }).await;
        }
        let mut has_failed = false;
        for source in sources {
            if self.is_avoided(&source) {
                continue;
            }
            match self.follow(&source, call).await {
                Some((page, confirmed_at)) => {
                    return self.complete(store, call, page, confirmed_at).await;
                }
                None => self.avoid(source),
            }
            has_failed = true;
        }
        if !has_failed {
            return self.feed_directly(store, call).await;
        }
        // The watchers may have ended, or the store may have been silent since it last confirmed
        // their state; a call that waits for nothing tells which.
        if let Some(confirmed_at) = self.cache().confirmed_at(call.table) {
            store.health().on_silence(confirmed_at);
        }
        self.feed_directly(store, FeedCall { wait: Duration::ZERO, ..call }).await
    }

    async fn feed_directly(
        &self,
        store: &ObservedStore,
        call: FeedCall<'_>,
    ) -> Result<ConfirmedPage, RowError> {
        let sent_at = clock::now();
        let page = store.feed(call.table, call.after, call.wait).await?;
        let confirmed_at = received_at(sent_at, call.wait);
        Ok(self.on_page(call.table, page, confirmed_at))
    }

    /// Asks a watcher. Returns `None` if it does not respond, does not know the table from this
    /// version on, or is out of touch with the store.
    async fn follow(&self, source: &str, call: FeedCall<'_>) -> Option<(RelayedPage, Instant)> {
        let sent_at = clock::now();
        let connected = timeout(CONNECT_TIMEOUT, self.watchers.client(source)).await;
        let client = connected.ok()?.ok()?;
        let limit = call.wait + RESPONSE_MARGIN;
        let max_age = call.max_wait + STORE_MARGIN;
        let (context, table) = (call_within(limit), call.table.to_string());
        let response = client.relay_feed(context, table, call.after, call.wait, max_age);
        let Ok(Ok(response)) = timeout(limit, response).await else {
            // The connection may be half-open; the next call opens a new one.
            self.watchers.drop_client(source);
            return None;
        };
        let page = response.ok().filter(|page| page.age < max_age)?;
        let received_at = received_at(sent_at, call.wait);
        let confirmed_at = received_at.checked_sub(page.age).unwrap_or(received_at);
        *self.relayed_latency.lock().unwrap_or_else(PoisonError::into_inner) = page.store_latency;
        Some((page, confirmed_at))
    }

    /// Reads the rows that a watcher has left out from the store.
    async fn complete(
        &self,
        store: &ObservedStore,
        call: FeedCall<'_>,
        relayed: RelayedPage,
        confirmed_at: Instant,
    ) -> Result<ConfirmedPage, RowError> {
        let mut rows = relayed.rows;
        for name in &relayed.omitted {
            rows.extend(store.get(name).await?);
        }
        // A watcher that was asked after another one may be behind it.
        let page = FeedPage { rows, version: relayed.version.max(call.after) };
        Ok(self.on_page(call.table, page, confirmed_at))
    }

    fn on_page(&self, table: &str, page: FeedPage, confirmed_at: Instant) -> ConfirmedPage {
        self.cache().apply(table, &page.rows, page.version, confirmed_at);
        self.changes.send_replace(());
        ConfirmedPage { page, confirmed_at }
    }

    /// Serves a process that follows this one: waits up to `wait` for changes of a table after a
    /// version. Changes that nobody waits for are returned at the end of that time, and a state that
    /// is older than `max_age` at once.
    ///
    /// # Errors
    ///
    /// [`RowError::HistoryGone`] if this process does not know all changes after that version.
    pub async fn serve(
        &self,
        store: &ObservedStore,
        (table, after): (&str, RowVersion),
        wait: Duration,
        max_age: Duration,
    ) -> Result<RelayedPage, RowError> {
        let end = clock::now() + wait;
        let mut changes = self.changes.subscribe();
        loop {
            let now = clock::now();
            let page = self.cache().changes_after(table, after, now)?;
            let left = end.saturating_duration_since(now).min(max_age.saturating_sub(page.age));
            if left.is_zero() || is_urgent(&page) {
                return Ok(RelayedPage { store_latency: store.health().latency(), ..page });
            }
            // The end of the time is noticed above, and the sender lives as long as this object.
            let _ = timeout(left, changes.changed()).await;
        }
    }

    fn is_avoided(&self, source: &str) -> bool {
        let avoided = self.avoided();
        avoided.get(source).is_some_and(|until| *until > clock::now())
    }

    fn avoid(&self, source: String) {
        let now = clock::now();
        let mut avoided = self.avoided();
        avoided.retain(|_, until| *until > now);
        avoided.insert(source, now + AVOIDANCE);
    }

    fn cache(&self) -> MutexGuard<'_, FeedCache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn avoided(&self) -> MutexGuard<'_, HashMap<String, Instant>> {
        self.avoided.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// When the response arrived to a call that was sent at `sent_at`.
fn received_at(sent_at: Instant, wait: Duration) -> Instant {
    if clock::elapsed(sent_at) > wait + STORE_MARGIN { sent_at } else { clock::now() }
}

/// Whether a page holds a change that followers wait for: heartbeats and registrations can wait for
/// the end of a call, a new owner or configuration cannot.
fn is_urgent(page: &RelayedPage) -> bool {
    let mut names = page.rows.iter().map(|row| &row.name).chain(&page.omitted);
    names.any(|name| name.key != PULSE_KEY && name.table != PEER_TABLE)
}
