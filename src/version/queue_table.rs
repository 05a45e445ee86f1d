//! The queues of the operator's configuration, as one version of it names them.

use std::collections::HashMap;

use crate::ids::GenerationNumber;
use crate::workflow::spec::QueuePolicy;

/// A queue and the paths that belong to it.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRoute {
    /// What the paths begin with.
    pub prefix: String,
    /// How the queue is treated.
    pub policy: QueuePolicy,
}

/// What a request of a caller may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest body in bytes.
    pub max_body_bytes: usize,
}

/// All queues of one version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueTable {
    /// The version.
    pub version: GenerationNumber,
    /// What a request may be.
    pub limits: RequestLimits,
    routes: HashMap<String, Vec<QueueRoute>>,
}

impl QueueTable {
    /// Makes a table of routes, each with its host.
    ///
    /// ```
    /// use greengagearch::version::queue_table::RequestLimits;
    /// use greengagearch::version::queue_table::QueueTable;
    ///
    /// let table = QueueTable::new(1, RequestLimits { max_body_bytes: 10 }, Vec::new());
    /// assert!(table.find_route("a.example", "/x/1").is_none());
    /// ```
    pub fn new(
        version: GenerationNumber,
        limits: RequestLimits,
        routes: Vec<(String, QueueRoute)>,
    ) -> QueueTable {
        let mut by_host: HashMap<String, Vec<QueueRoute>> = HashMap::new();
        for (host, route) in routes {
            by_host.entry(host).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            // The longest prefix is found first.
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        QueueTable { version, limits, routes: by_host }
    }

    /// The queue that a path at a host belongs to, and the rest of the path.
    ///
    /// ```
    /// use greengagearch::version::queue_table::RequestLimits;
    /// use greengagearch::version::queue_table::QueueTable;
    ///
    /// let table = QueueTable::new(1, RequestLimits { max_body_bytes: 10 }, Vec::new());
    /// assert!(table.find_route("a.example", "/x/1").is_none());
    /// ```
    pub fn find_route<'a>(&self, host: &str, path: &'a str) -> Option<(&QueueRoute, &'a str)> {
        let routes = self.routes.get(host)?;
        routes.iter().find_map(|route| Some((route, path.strip_prefix(route.prefix.as_str())?)))
    }

    /// The policy of a queue by its name.
    ///
    /// ```
    /// use greengagearch::version::queue_table::RequestLimits;
    /// use greengagearch::version::queue_table::QueueTable;
    ///
    /// let table = QueueTable::new(1, RequestLimits { max_body_bytes: 1_000 }, Vec::new());
    /// assert!(table.find_queue("logs").is_none());
    /// ```
    pub fn find_queue(&self, name: &str) -> Option<&QueuePolicy> {
        let routes = self.routes.values().flatten();
        routes.map(|route| &route.policy).find(|policy| policy.queue == name)
    }

    /// Number of queues.
    ///
    /// ```
    /// use greengagearch::version::queue_table::RequestLimits;
    /// use greengagearch::version::queue_table::QueueTable;
    ///
    /// let table = QueueTable::new(1, RequestLimits { max_body_bytes: 10 }, Vec::new());
    /// assert_eq!(table.len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Whether there is no queue.
    ///
    /// ```
    /// use greengagearch::version::queue_table::RequestLimits;
    /// use greengagearch::version::queue_table::QueueTable;
    ///
    /// assert!(QueueTable::new(1, RequestLimits { max_body_bytes: 10 }, Vec::new()).is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
