//! HTTP handlers of the object API that `docs/INTERFACES.md` specifies.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::StatusCode;
use axum::middleware;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing;
use serde::Deserialize;
use skylark_core::version::objects::ObjectKind;
use skylark_objects::PutRequest;
use skylark_objects::PutResponse;
use skylark_objects::http::ZONE_HEADER;

use super::Platform;
use super::store::Conflict;

/// The maximum size of a PUT body, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

type Shared = State<Arc<Platform>>;

/// Query parameters of a conditional deletion.
#[derive(Debug, Deserialize)]
struct DeleteQuery {
    expected_version: u64,
}

/// Query parameters of a watch: it waits up to `wait_ms` for a revision above `after`.
#[derive(Debug, Deserialize)]
struct WatchQuery {
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

/// Returns the router of the object API, with the platform's faults applied to every call.
pub fn router(platform: Arc<Platform>) -> Router {
    let object = routing::get(get_object).put(put_object).delete(delete_object);
    let faults = middleware::from_fn_with_state(Arc::clone(&platform), with_faults);
    Router::new()
        .route("/v1/objects/{kind}/{name}", object)
        .route("/v1/snapshot", routing::get(snapshot))
        .route("/v1/watch", routing::get(watch))
        .route("/v1/vms", routing::get(vms))
        .layer(faults)
        .with_state(platform)
}

/// Delays a call, refuses it or drops its answer as the active faults require. An update takes effect
/// in one step of its handler, so a call refused while it waits for its handler has had no effect.
async fn with_faults(
    State(platform): Shared,
    headers: HeaderMap,
    request: Request,
    next: Next,
) -> Response {
    let zone = headers.get(ZONE_HEADER).and_then(|zone| zone.to_str().ok()).unwrap_or_default();
    let updates = matches!(*request.method(), Method::PUT | Method::DELETE);
    let serve = async {
        platform.faults.wait_until_zone_is_served(zone).await;
        tokio::time::sleep(platform.faults.state().slow).await;
        let response = next.run(request).await;
        platform.faults.wait_until_zone_is_served(zone).await;
        response
    };
    let response = tokio::select! {
        biased;
        () = platform.faults.wait_until_down() => return unavailable(&platform),
        response = serve => response,
    };
    if updates && response.status() == StatusCode::OK && platform.faults.take_lost_answer() {
        platform.counters.lost_answers.add();
        return StatusCode::BAD_GATEWAY.into_response();
    }
    response
}

fn unavailable(platform: &Platform) -> Response {
    platform.counters.unavailable.add();
    StatusCode::SERVICE_UNAVAILABLE.into_response()
}

async fn get_object(
    State(platform): Shared,
    Path((kind, name)): Path<(String, String)>,
) -> Response {
    platform.counters.gets.add();
    let Some(kind) = ObjectKind::from_name(&kind) else { return unknown_kind(&kind) };
    match platform.store.get(kind, &name) {
        Some(object) => Json(object).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn put_object(
    State(platform): Shared,
    Path((kind, name)): Path<(String, String)>,
    body: Bytes,
) -> Response {
    platform.counters.puts.add();
    let Some(kind) = ObjectKind::from_name(&kind) else { return unknown_kind(&kind) };
    if body.len() > MAX_VALUE_BYTES {
        return bad_request(format!("the value is larger than {MAX_VALUE_BYTES} bytes"));
    }
    match serde_json::from_slice::<PutRequest>(&body) {
        Ok(request) => {
            let put = platform.store.put(kind, &name, request.expected_version, request.body);
            update_response(&platform, put)
        }
        Err(error) => bad_request(error.to_string()),
    }
}

async fn delete_object(
    State(platform): Shared,
    Path((kind, name)): Path<(String, String)>,
    Query(query): Query<DeleteQuery>,
) -> Response {
    platform.counters.deletes.add();
    let Some(kind) = ObjectKind::from_name(&kind) else { return unknown_kind(&kind) };
    update_response(&platform, platform.store.delete(kind, &name, query.expected_version))
}

async fn snapshot(State(platform): Shared) -> Response {
    platform.counters.snapshots.add();
    Json(platform.store.snapshot()).into_response()
}

async fn watch(State(platform): Shared, Query(query): Query<WatchQuery>) -> Response {
    platform.counters.watches.add();
    let mut revision = platform.store.subscribe();
    let newer = revision.wait_for(|revision| *revision > query.after);
    // A timeout is answered with the changes so far. The channel can't close: the platform owns the sender.
    let _ = tokio::time::timeout(Duration::from_millis(query.wait_ms), newer).await;
    Json(platform.store.changes_after(query.after)).into_response()
}

async fn vms(State(platform): Shared) -> Response {
    platform.counters.vm_lists.add();
    Json(platform.store.vms()).into_response()
}

fn update_response(platform: &Platform, result: Result<u64, Conflict>) -> Response {
    match result {
        Ok(version) => Json(PutResponse { version }).into_response(),
        Err(conflict) => {
            platform.counters.conflicts.add();
            let answer = PutResponse { version: conflict.actual };
            (StatusCode::CONFLICT, Json(answer)).into_response()
        }
    }
}

fn unknown_kind(kind: &str) -> Response {
    bad_request(format!("there is no kind `{kind}`"))
}

fn bad_request(reason: String) -> Response {
    (StatusCode::BAD_REQUEST, reason).into_response()
}
