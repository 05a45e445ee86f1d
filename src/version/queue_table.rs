//! Queues of jobs in one version of the operator's configuration, with the paths routed to them.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::GenerationNumber;
use crate::workflow::spec::QueuePolicy;

/// Route from request paths to a queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRoute {
    /// Prefix of the paths.
    pub prefix: String,
    /// Policy of the queue.
    pub policy: QueuePolicy,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Greatest size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Greatest size of a request's head in bytes.
    pub max_head_bytes: usize,
    /// Longest time for a caller to send the head of a request.
    pub head_timeout: Duration,
    /// Longest time for which a caller may leave a connection or an unfinished request idle.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits {
            max_body_bytes: 262_144,
            max_head_bytes: 16_384,
            head_timeout: Duration::from_secs(60),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// All queues of one version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueTable {
    /// Version of the configuration.
    pub version: GenerationNumber,
    /// Limits on requests.
    pub limits: RequestLimits,
    routes: HashMap<String, Vec<QueueRoute>>,
}

impl QueueTable {
    /// Creates a table of routes, each with its host.
    ///
    /// ```
    /// use greengagearch::version::queue_table::RequestLimits;
    /// use greengagearch::version::queue_table::QueueTable;
    ///
    /// let table = QueueTable::new(1, RequestLimits::default(), Vec::new());
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
            // `find_route` takes the first match, which has to be the one with the longest prefix.
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        QueueTable { version, limits, routes: by_host }
    }

    /// Finds the route for a path at a host; also returns the path after the prefix.
    ///
    /// ```
    /// use greengagearch::version::queue_table::RequestLimits;
    /// use greengagearch::version::queue_table::QueueTable;
    ///
    /// let table = QueueTable::new(1, RequestLimits::default(), Vec::new());
    /// assert!(table.find_route("a.example", "/x/1").is_none());
    /// ```
    pub fn find_route<'a>(&self, host: &str, path: &'a str) -> Option<(&QueueRoute, &'a str)> {
        let routes = self.routes.get(host)?;
        routes.iter().find_map(|route| Some((route, path.strip_prefix(route.prefix.as_str())?)))
    }

    /// Policy of the queue with this name.
    ///
    /// ```
    /// use greengagearch::version::queue_table::RequestLimits;
    /// use greengagearch::version::queue_table::QueueTable;
    ///
    /// let table = QueueTable::new(1, RequestLimits::default(), Vec::new());
    /// assert!(table.find_queue("logs").is_none());
    /// ```
    pub fn find_queue(&self, name: &str) -> Option<&QueuePolicy> {
        let routes = self.routes.values().flatten();
        routes.map(|route| &route.policy).find(|policy| policy.queue == name)
    }

    /// Number of routes.
    ///
    /// ```
    /// use greengagearch::version::queue_table::RequestLimits;
    /// use greengagearch::version::queue_table::QueueTable;
    ///
    /// let table = QueueTable::new(1, RequestLimits::default(), Vec::new());
    /// assert_eq!(table.len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Whether the table has no routes.
    ///
    /// ```
    /// use greengagearch::version::queue_table::RequestLimits;
    /// use greengagearch::version::queue_table::QueueTable;
    ///
    /// assert!(QueueTable::new(1, RequestLimits::default(), Vec::new()).is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
