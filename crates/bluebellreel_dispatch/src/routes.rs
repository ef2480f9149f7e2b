//! The operators' configuration in force: routes, services, limits.

use std::sync::Arc;
use std::time::Duration;
use twox_hash::XxHash64;

/// What may be done with a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Runs at most once for each attempt of a caller.
    Unsafe,
    /// Answered by a series of events.
    Stream,
    /// Carries batch jobs.
    Batch,
}

/// One service that a route sends to, and its share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: Arc<str>,
    /// Its share of the sum of all weights.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Host that it belongs to, in lower case.
    pub host: Arc<str>,
    /// Paths that it takes start with this.
    pub prefix: Arc<str>,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// Where they go; never empty.
    pub targets: Vec<Target>,
    /// Longest that a request is kept waiting for its whole answer.
    pub timeout: Duration,
    /// Latency objective: first event, or acceptance of a job.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Most workers that one attempt of a caller may be sent to; for a job,
    /// failures after which an item is given up.
    pub max_workers: u32,
    /// Whether a stream may go on at another worker.
    pub resumable: bool,
    /// Longest pause between events that is still on time.
    pub pause: Duration,
    /// Tokens of a job route that may wait; zero for no bound.
    pub quota_tokens: u64,
    /// Time from a job's first send to the moment its results are due.
    pub job_objective: Duration,
    /// Time from a job's first send after which items may be given up.
    pub retention: Duration,
}

impl Route {
    /// Whether an attempt may be sent once more after it may have run.
    #[must_use]
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe | RouteKind::Batch => true,
            RouteKind::Stream => self.resumable,
            RouteKind::Unsafe => false,
        }
    }

    /// The service for a request. The request's id decides, so that a second
    /// attempt inside one request stays with its service.
    #[must_use]
    pub fn service_for(&self, request: &str) -> Arc<str> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut point = XxHash64::oneshot(0, request.as_bytes()) % total.max(1);
        for target in &self.targets {
            if point < u64::from(target.weight) {
                return target.service.clone();
            }
            point -= u64::from(target.weight);
        }
        self.targets[0].service.clone()
    }
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Path of its health check.
    pub health_path: Arc<str>,
    /// Connections that one of its workers takes from all callers together.
    pub max_connections: u32,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head, in bytes.
    pub head_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_time: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_time: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Configuration {
    /// Its version; a higher one replaces a lower one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// All services.
    pub services: Vec<Service>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

impl Configuration {
    /// The route of a request: among those of its host, the one with the
    /// longest prefix that begins the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let of_host = |route: &&Arc<Route>| route.host.eq_ignore_ascii_case(name);
        self.routes
            .iter()
            .filter(of_host)
            .filter(|route| path.starts_with(&*route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Whether some route goes to this service.
    #[must_use]
    pub fn names_service(&self, service: &str) -> bool {
        let mut targets = self.routes.iter().flat_map(|route| &route.targets);
        targets.any(|target| &*target.service == service)
    }

    /// The route with this name.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<&Arc<Route>> {
        self.routes.iter().find(|route| &*route.name == name)
    }
}
