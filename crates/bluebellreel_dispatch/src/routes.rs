//! The operators' active configuration: routes, services and limits.

use bluebellreel_teams::Teams;
use std::sync::Arc;
use std::time::Duration;
use twox_hash::XxHash64;

/// How a route's requests may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Runs at most once for each attempt of a caller.
    Unsafe,
    /// Answered by a stream of events.
    Stream,
    /// Accepts batch jobs.
    Batch,
}

/// A service that a route sends requests to, and its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: Arc<str>,
    /// Its share of the sum of all targets' weights.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Host name that the route matches, in lower case.
    pub host: Arc<str>,
    /// Path prefix that the route matches.
    pub prefix: Arc<str>,
    /// How the route's requests may be executed.
    pub kind: RouteKind,
    /// Services that serve the route; never empty.
    pub targets: Vec<Target>,
    /// Maximum time that a request waits for its whole answer.
    pub timeout: Duration,
    /// Latency objective for the first event, or for the acceptance of a job.
    pub objective: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether callers need no key.
    pub anonymous: bool,
    /// Maximum number of workers that one attempt of a caller may be sent to; for a job,
    /// the number of failures after which an item is given up.
    pub max_workers: u32,
    /// Whether a stream may resume at another worker.
    pub resumable: bool,
    /// Maximum pause between two events of a stream that still counts as on time.
    pub pause: Duration,
    /// Maximum number of tokens of this job route that may be waiting; zero for no
    /// limit.
    pub quota_tokens: u64,
    /// Time from the first submission of a job until its results are due.
    pub job_objective: Duration,
    /// Time from the first submission of a job after which its items may be given up.
    pub retention: Duration,
}

impl Route {
    /// Whether an attempt that may have run may be sent again.
    #[must_use]
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe | RouteKind::Batch => true,
            RouteKind::Stream => self.resumable,
            RouteKind::Unsafe => false,
        }
    }

    /// The service for a request. The choice depends on the request's id, so that a
    /// second attempt of the same request stays with its service.
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
    /// Connections that one worker of the service accepts from all callers together.
    pub max_connections: u32,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for a request head to arrive.
    pub head_time: Duration,
    /// Maximum time that a connection may stay idle.
    pub idle_time: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Version number; a higher one replaces a lower one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// The teams that may send requests; none if callers need no keys.
    pub teams: Option<Teams>,
}

impl Configuration {
    /// The route of a request: among the routes of its host, the one with the longest
    /// matching path prefix.
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

    /// Whether a host has a batch route that needs no key.
    #[must_use]
    pub fn has_open_batch_route(&self, host: &str) -> bool {
        let name = host.split(':').next().unwrap_or(host);
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(name))
            .any(|route| route.kind == RouteKind::Batch && route.anonymous)
    }

    /// Whether any route has this service as a target.
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
