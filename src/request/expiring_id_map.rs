//! Map from request ids to their states, with an expiry time for each id.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::RequestId;

#[derive(Clone, Debug)]
struct ExpiringState<S> {
    state: S,
    expires_at: Duration,
}

/// States of request ids, each kept until its expiry time, a wall-clock time since the Unix epoch.
#[derive(Clone, Debug)]
pub struct ExpiringIdMap<S> {
    ids: HashMap<RequestId, ExpiringState<S>>,
}

impl<S> Default for ExpiringIdMap<S> {
    fn default() -> ExpiringIdMap<S> {
        ExpiringIdMap { ids: HashMap::new() }
    }
}

impl<S> ExpiringIdMap<S> {
    /// State of an id.
    ///
    /// ```
    /// use greengagearch::request::expiring_id_map::ExpiringIdMap;
    ///
    /// assert_eq!(ExpiringIdMap::<u32>::default().get(&uuid::Uuid::now_v7()), None);
    /// ```
    pub fn get(&self, id: &RequestId) -> Option<&S> {
        self.ids.get(id).map(|known| &known.state)
    }

    /// Sets the state of an id and the time until which it is kept at least.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::request::expiring_id_map::ExpiringIdMap;
    ///
    /// let mut ids = ExpiringIdMap::default();
    /// let id = uuid::Uuid::now_v7();
    /// ids.set(id, 7, Duration::MAX);
    /// assert_eq!(ids.get(&id), Some(&7));
    /// ```
    pub fn set(&mut self, id: RequestId, state: S, expires_at: Duration) {
        self.ids.insert(id, ExpiringState { state, expires_at });
    }

    /// Changes the state of an id if the map contains it; the expiry time stays the same.
    ///
    /// ```
    /// use greengagearch::request::expiring_id_map::ExpiringIdMap;
    ///
    /// ExpiringIdMap::default().change(&uuid::Uuid::now_v7(), 7);
    /// ```
    pub fn change(&mut self, id: &RequestId, state: S) {
        if let Some(known) = self.ids.get_mut(id) {
            known.state = state;
        }
    }

    /// Removes an id.
    ///
    /// ```
    /// use greengagearch::request::expiring_id_map::ExpiringIdMap;
    ///
    /// ExpiringIdMap::<u32>::default().remove(&uuid::Uuid::now_v7());
    /// ```
    pub fn remove(&mut self, id: &RequestId) {
        self.ids.remove(id);
    }

    /// Removes the ids that have expired by `now`, except for those whose state is in use according
    /// to `is_in_use`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::request::expiring_id_map::ExpiringIdMap;
    ///
    /// let mut ids = ExpiringIdMap::default();
    /// ids.set(uuid::Uuid::now_v7(), 7, Duration::from_secs(1));
    /// ids.remove_expired(Duration::from_secs(1), |_| false);
    /// assert!(ids.is_empty());
    /// ```
    pub fn remove_expired(&mut self, now: Duration, is_in_use: impl Fn(&S) -> bool) {
        self.ids.retain(|_, known| known.expires_at > now || is_in_use(&known.state));
    }

    /// All ids with their states and expiry times.
    ///
    /// ```
    /// use greengagearch::request::expiring_id_map::ExpiringIdMap;
    ///
    /// assert_eq!(ExpiringIdMap::<u32>::default().iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = (&RequestId, &S, Duration)> {
        self.ids.iter().map(|(id, known)| (id, &known.state, known.expires_at))
    }

    /// Number of ids.
    ///
    /// ```
    /// let ids = greengagearch::request::expiring_id_map::ExpiringIdMap::<u32>::default();
    /// assert_eq!(ids.len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether the map contains no ids.
    ///
    /// ```
    /// let ids = greengagearch::request::expiring_id_map::ExpiringIdMap::<u32>::default();
    /// assert!(ids.is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }
}
