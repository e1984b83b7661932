//! The platform's HTTP API: the object store, and the call that promotes a target to primary.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::middleware;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing;
use parking_lot::Mutex;
use serde::Serialize;
use skylark_core::FastMap;
use skylark_core::version::routes::RouteTable;
use skylark_platform::objects;
use skylark_platform::objects::Object;
use skylark_platform::objects::TenantBody;
use skylark_platform::promote;
use skylark_platform::store;
use tokio::net::TcpListener;
use tokio::time;

use crate::typed::group::Group;
use crate::typed::object_store::Backup;
use crate::typed::object_store::ObjectStore;
use crate::typed::object_store::Refused;
use crate::typed::promotion_gate::PromotionGate;

/// How the platform handles calls.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum PlatformMode {
    /// Calls are served normally.
    #[default]
    Serving,
    /// Calls are accepted and never carried out or answered, not even after the mode changes.
    Silent,
    /// Calls are refused with 503 and have no effect.
    Busy,
    /// Calls are carried out, and writes are never answered.
    LosesAnswers,
    /// Calls that list, watch or create configurations are never answered; all others are served.
    HidesConfiguration,
    /// Watches are answered with a response that can't be decoded; all other calls are served.
    GarblesWatches,
    /// Calls are served, but promotions are carried out this many milliseconds later and are not answered. Their
    /// tokens are checked, and count as seen, when they are carried out.
    PromotesLate(u64),
}

/// The platform's state, shared by all calls.
#[derive(Debug, Default)]
pub struct Platform {
    /// The stored objects.
    pub objects: ObjectStore,
    platform_mode: Mutex<PlatformMode>,
    groups: Mutex<Vec<Arc<Group>>>,
    /// The highest token of a promote call of each service, for fencing.
    tokens: Mutex<FastMap<String, u64>>,
    /// Whether promote calls with a lower token than the highest are carried out too.
    ignores_tokens: AtomicBool,
    /// Whether updates of targets' entries are dropped.
    entries_frozen: AtomicBool,
    /// The promote calls that passed the check of the token, in the order of arrival.
    promote_calls: Mutex<Vec<PromoteCall>>,
    /// The promotions that are held back.
    pub promotion_gate: PromotionGate,
    /// The number of accepted promotions.
    pub promotions: AtomicU64,
    /// The number of calls received, of any kind.
    pub calls: AtomicU64,
}

/// A call to promote a target to primary.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PromoteCall {
    /// The service whose primary is to change.
    pub service: String,
    /// The id of the target to promote.
    pub target: String,
    /// The VM that called; empty if the call didn't state one.
    pub holder: String,
    /// The caller's fencing token.
    pub token: u64,
}

impl Platform {
    /// Stores a configuration, with the organisations if given, as an operator does.
    pub fn configure(&self, table: &RouteTable, organisations: Option<&[TenantBody]>) {
        let (kind, name) = store::CONFIGURATION;
        self.objects.put(kind, name, objects::encode_configuration(table, organisations));
    }

    /// Restores the store from a copy. The operator and the targets repeat what they wrote since.
    pub fn restore(&self, backup: &Backup) {
        self.objects.restore(backup, &[store::CONFIGURATION.0, store::TARGETS]);
    }

    fn group(&self, service: &str) -> Option<Arc<Group>> {
        let groups = self.groups.lock();
        groups.iter().find(|group| *group.options.service == *service).cloned()
    }

    /// Makes the platform carry out promote calls with a lower token than the highest.
    pub fn ignore_tokens(&self) {
        self.ignores_tokens.store(true, Ordering::Relaxed);
    }

    /// Makes the platform drop all updates of targets' entries, so that they stay as they are.
    pub fn freeze_entries(&self) {
        self.entries_frozen.store(true, Ordering::Relaxed);
    }

    /// Returns whether updates of targets' entries are dropped.
    pub fn entries_frozen(&self) -> bool {
        self.entries_frozen.load(Ordering::Relaxed)
    }

    /// Returns whether promote calls with a lower token than the highest are refused.
    pub fn checks_tokens(&self) -> bool {
        !self.ignores_tokens.load(Ordering::Relaxed)
    }

    /// Records the token of a promote call. Returns whether the call may be carried out.
    fn accepts_token(&self, service: &str, token: u64) -> bool {
        let mut tokens = self.tokens.lock();
        let highest = tokens.entry(service.to_owned()).or_default();
        let is_outdated = token < *highest;
        *highest = token.max(*highest);
        !is_outdated || !self.checks_tokens()
    }

    /// Checks the tokens of the calls for a service that wait behind the closed gate without an answer, and holds the
    /// accepted ones.
    pub fn check_late_calls(&self, service: &str) {
        for call in self.promotion_gate.take_late_calls(service) {
            let member = self.group(service).and_then(|group| {
                let members = &group.options.members;
                let member = members.iter().position(|(id, _)| **id == *call.target)?;
                Some((group, member))
            });
            if let Some((group, member)) =
                member.filter(|_| self.accepts_token(service, call.token))
            {
                self.promotion_gate.hold(&group, member);
            }
        }
    }

    /// Returns the promote calls that passed the check of the token, in the order of arrival. Late calls are
    /// included when they arrive.
    pub fn promote_calls(&self) -> Vec<PromoteCall> {
        self.promote_calls.lock().clone()
    }

    /// Starts the platform on a free loopback port, and returns its address. Fails if it can't listen.
    pub async fn start(self: &Arc<Self>) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let kinds = format!("{}/{{kind}}", store::OBJECTS);
        let names = format!("{}/{{kind}}/{{name}}", store::OBJECTS);
        let router = Router::new()
            .route(&kinds, routing::get(list).post(create))
            .route(&names, routing::get(get).put(replace).delete(remove))
            .route(promote::PATH, routing::post(handle_promote))
            .layer(middleware::from_fn_with_state(Arc::clone(self), apply_mode))
            .with_state(Arc::clone(self));
        // The server runs until its runtime is shut down.
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(address)
    }

    /// Changes how further calls are handled.
    pub fn set_platform_mode(&self, platform_mode: PlatformMode) {
        *self.platform_mode.lock() = platform_mode;
    }

    /// Adds a group whose members can be promoted.
    pub fn add_group(&self, group: &Arc<Group>) {
        self.groups.lock().push(Arc::clone(group));
    }
}

/// Counts a call, and handles it according to the current mode.
async fn apply_mode(
    State(platform): State<Arc<Platform>>,
    request: Request,
    next: Next,
) -> Response {
    platform.calls.fetch_add(1, Ordering::Relaxed);
    let is_write = !request.method().is_safe();
    let platform_mode = *platform.platform_mode.lock();
    let mut response = match platform_mode {
        PlatformMode::Silent => std::future::pending().await,
        PlatformMode::Busy => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        PlatformMode::LosesAnswers if is_write => {
            next.run(request).await;
            std::future::pending().await
        }
        PlatformMode::HidesConfiguration
            if request.uri().path().ends_with(store::CONFIGURATION.0) =>
        {
            std::future::pending().await
        }
        PlatformMode::GarblesWatches
            if request.uri().query().is_some_and(|query| query.contains(store::WATCH)) =>
        {
            "{\"events\":[{\"Object\":".into_response()
        }
        PlatformMode::Serving
        | PlatformMode::GarblesWatches
        | PlatformMode::LosesAnswers
        | PlatformMode::HidesConfiguration
        | PlatformMode::PromotesLate(_) => next.run(request).await,
    };
    let generation = HeaderValue::from(platform.objects.generation());
    response.headers_mut().insert(store::GENERATION, generation);
    response
}

fn answer<T>(result: Result<T, Refused>) -> Response
where
    T: Serialize,
{
    match result {
        Ok(value) => Json(value).into_response(),
        Err(Refused::Conflict(object)) => (StatusCode::CONFLICT, Json(object)).into_response(),
        Err(Refused::NotFound) => StatusCode::NOT_FOUND.into_response(),
        Err(Refused::HistoryGone) => StatusCode::GONE.into_response(),
    }
}

async fn list(
    State(platform): State<Arc<Platform>>,
    Path(kind): Path<String>,
    Query(query): Query<FastMap<String, String>>,
) -> Response {
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
    let Some(revision) = number(store::WATCH) else {
        let after = query.get(store::AFTER).map_or("", String::as_str);
        return answer(Ok(platform.objects.list(&kind, after)));
    };
    let wait = Duration::from_millis(number(store::WAIT).unwrap_or(0));
    answer(watch(&platform, &kind, revision, wait).await)
}

async fn watch(
    platform: &Platform,
    kind: &str,
    revision: u64,
    wait: Duration,
) -> Result<skylark_platform::objects::Events, Refused> {
    let mut changes = platform.objects.changes();
    let until = time::Instant::now() + wait;
    loop {
        let found = platform.objects.events(kind, revision)?;
        if !found.events.is_empty() {
            return Ok(found);
        }
        // After a change the events are read again; after the timeout the answer is empty.
        if time::timeout_at(until, changes.changed()).await.is_err() {
            return Ok(found);
        }
    }
}

async fn get(
    State(platform): State<Arc<Platform>>,
    Path((kind, name)): Path<(String, String)>,
) -> Response {
    answer(platform.objects.get(&kind, &name))
}

async fn create(
    State(platform): State<Arc<Platform>>,
    Path(kind): Path<String>,
    Json(object): Json<Object>,
) -> Response {
    answer(platform.objects.create(&kind, &object.meta.name, object.spec))
}

async fn replace(
    State(platform): State<Arc<Platform>>,
    Path((kind, name)): Path<(String, String)>,
    Json(object): Json<Object>,
) -> Response {
    answer(platform.objects.replace(&kind, &name, object.spec, object.meta.rev))
}

async fn remove(
    State(platform): State<Arc<Platform>>,
    Path((kind, name)): Path<(String, String)>,
) -> Response {
    platform.objects.remove(&kind, &name);
    StatusCode::OK.into_response()
}

async fn handle_promote(
    State(platform): State<Arc<Platform>>,
    headers: HeaderMap,
    Json(body): Json<promote::Body>,
) -> Response {
    let token = headers.get(promote::TOKEN).and_then(|token| token.to_str().ok());
    let Some(token) = token.and_then(|token| token.parse::<u64>().ok()) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let late_by = match *platform.platform_mode.lock() {
        PlatformMode::PromotesLate(late_ms) => Some(Duration::from_millis(late_ms)),
        _ => None,
    };
    if late_by.is_none() {
        platform.check_late_calls(&body.service);
        if !platform.accepts_token(&body.service, token) {
            return StatusCode::CONFLICT.into_response();
        }
    }
    let holder = headers.get(promote::HOLDER).and_then(|holder| holder.to_str().ok());
    let holder = holder.unwrap_or_default().to_owned();
    let (service, target) = (body.service.clone(), body.id.clone());
    let call = PromoteCall { service, target, holder, token };
    platform.promote_calls.lock().push(call.clone());
    if late_by.is_some() && platform.promotion_gate.is_closed() {
        platform.promotion_gate.add_late_call(call);
        return std::future::pending().await;
    }
    let Some(group) = platform.group(&body.service) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let member = group.options.members.iter().position(|(id, _)| **id == *body.id);
    let Some(member) = member.filter(|member| group.member(*member).alive) else {
        return StatusCode::CONFLICT.into_response();
    };
    platform.promotions.fetch_add(1, Ordering::Relaxed);
    if platform.promotion_gate.hold(&group, member) {
        return StatusCode::OK.into_response();
    }
    let delay = group.options.promotion_delay;
    tokio::spawn(async move {
        if let Some(late_by) = late_by {
            time::sleep(late_by).await;
            if !platform.accepts_token(&body.service, token) {
                return;
            }
        }
        time::sleep(delay).await;
        group.promote(member);
    });
    match late_by {
        Some(_) => std::future::pending().await,
        None => StatusCode::OK.into_response(),
    }
}
