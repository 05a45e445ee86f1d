//! Request ids with what is known of each, kept for a bounded time.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::RequestId;

#[derive(Clone, Debug)]
struct RememberedId<S> {
    state: S,
    expires_at: Duration,
}

/// Ids with a state each; every id is kept until its wall-clock time has come.
#[derive(Clone, Debug)]
pub struct IdMemory<S> {
    ids: HashMap<RequestId, RememberedId<S>>,
}

impl<S> Default for IdMemory<S> {
    fn default() -> IdMemory<S> {
        IdMemory { ids: HashMap::new() }
    }
}

impl<S> IdMemory<S> {
    /// What is known of an id.
    ///
    /// ```
    /// use greengagearch::request::id_memory::IdMemory;
    ///
    /// assert_eq!(IdMemory::<u32>::default().get(&uuid::Uuid::now_v7()), None);
    /// ```
    pub fn get(&self, id: &RequestId) -> Option<&S> {
        self.ids.get(id).map(|known| &known.state)
    }

    /// Sets what is known of an id, and the wall-clock time until which it is kept at least.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::request::id_memory::IdMemory;
    ///
    /// let mut memory = IdMemory::default();
    /// let id = uuid::Uuid::now_v7();
    /// memory.set(id, 7, Duration::MAX);
    /// assert_eq!(memory.get(&id), Some(&7));
    /// ```
    pub fn set(&mut self, id: RequestId, state: S, expires_at: Duration) {
        self.ids.insert(id, RememberedId { state, expires_at });
    }

    /// Changes what is known of an id that is kept; the time until which it is kept stays.
    ///
    /// ```
    /// use greengagearch::request::id_memory::IdMemory;
    ///
    /// IdMemory::default().change(&uuid::Uuid::now_v7(), 7);
    /// ```
    pub fn change(&mut self, id: &RequestId, state: S) {
        if let Some(known) = self.ids.get_mut(id) {
            known.state = state;
        }
    }

    /// Forgets an id.
    ///
    /// ```
    /// use greengagearch::request::id_memory::IdMemory;
    ///
    /// IdMemory::<u32>::default().remove(&uuid::Uuid::now_v7());
    /// ```
    pub fn remove(&mut self, id: &RequestId) {
        self.ids.remove(id);
    }

    /// Forgets ids whose time has come by `now`, but for those that `is_busy` holds.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::request::id_memory::IdMemory;
    ///
    /// let mut memory = IdMemory::default();
    /// memory.set(uuid::Uuid::now_v7(), 7, Duration::from_secs(1));
    /// memory.remove_expired(Duration::from_secs(1), |_| false);
    /// assert!(memory.is_empty());
    /// ```
    pub fn remove_expired(&mut self, now: Duration, is_busy: impl Fn(&S) -> bool) {
        self.ids.retain(|_, known| known.expires_at > now || is_busy(&known.state));
    }

    /// All ids with what is known of each and the time until which it is kept.
    ///
    /// ```
    /// use greengagearch::request::id_memory::IdMemory;
    ///
    /// assert_eq!(IdMemory::<u32>::default().iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = (&RequestId, &S, Duration)> {
        self.ids.iter().map(|(id, known)| (id, &known.state, known.expires_at))
    }

    /// Number of ids.
    ///
    /// ```
    /// assert_eq!(greengagearch::request::id_memory::IdMemory::<u32>::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether no id is kept.
    ///
    /// ```
    /// assert!(greengagearch::request::id_memory::IdMemory::<u32>::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }
}
