//! The bench's wire protocol: replies to batches of events.

use std::panic::catch_unwind;

use serde_json::{Value, json};
use woadhook_adapter::flint::{Host, panic_step};

type Result<T> = std::result::Result<T, String>;

fn spawn() -> Value {
    json!({"kind": "SPAWN", "initSeed": 1, "unknown": true, "bootInfo": {
        "replicasOfMe": 1, "myNumber": 0, "zone": "a", "zones": ["a"], "kinds": ["k"], "tenants": [],
        "discovery": "pushed", "feedback": {"how": "none", "names": []}, "prices": {},
        "classes": [{"name": "c", "goalTimeUs": 1_000_000, "deadlineUs": 4_000_000, "gain": 1.0,
            "lateWorth": 0.0, "effect": "repeatable", "runsIn": null}],
        "familyInfo": {"coresByKind": [8], "ramOfKindMb": [1000.0], "widthByClass": [1]},
        "limits": {"tryLimit": 3, "connectTimeoutUs": 250_000},
        "obligations": {"overloadFactor": 2.0, "fallUs": 1_000_000, "startCapacity": 0.3,
            "coldUs": 9_000_000, "answerSlackUs": 20_000}}})
}

fn page(engine: &str) -> Value {
    json!({"kind": "SNAPSHOT_ROWS", "page": 0, "items": [
        {"engine": engine, "area": "a", "familyType": "k", "stripe": 0, "phase": "live"}]})
}

fn list(mode: &str) -> Value {
    json!({"kind": "REGISTRY", "epoch": 1, "mode": mode, "page": 0})
}

fn request(txn: &str) -> Value {
    json!({"kind": "REQUEST", "txn": txn, "class": "c", "expiresInUs": 4_000_000, "target": null})
}

fn send_batch(host: &mut Host, at: u64, events: &[Value]) -> Result<Value> {
    let batch = json!({"atTimeUs": at, "parts": [{"who": "router_0", "happened": events}]});
    host.handle_batch(&batch.to_string())
}

/// The job and engine of each dispatch in a reply.
fn dispatches(reply: &Value) -> Vec<(&str, &str)> {
    let steps = reply["parts"][0]["steps"].as_array().map(Vec::as_slice).unwrap_or_default();
    let sent = steps.iter().filter(|step| step["kind"] == "DELIVER");
    sent.map(|step| (step["txn"].as_str().unwrap(), step["engine"].as_str().unwrap())).collect()
}

#[test]
fn reused_page_numbers_resolve_in_event_order() {
    let mut host = Host::default();
    let events = [spawn(), page("one"), list("restored"), page("two"), list("replace"), request("r")];
    let reply = send_batch(&mut host, 5, &events).unwrap();
    assert_eq!(dispatches(&reply), [("r", "two")]);
}

#[test]
fn a_torn_down_instance_loses_its_state_and_can_restart_in_the_same_batch() {
    let mut host = Host::default();
    send_batch(&mut host, 5, &[spawn(), page("one"), list("restored"), request("old")]).unwrap();
    let events = [json!({"kind": "TEARDOWN"}), spawn(), page("two"), list("restored"), request("new")];
    let reply = send_batch(&mut host, 10, &events).unwrap();
    assert_eq!(dispatches(&reply), [("new", "two")]);
    let late =
        json!({"kind": "REPORT_BACK", "txn": "old", "engine": "one", "lagUs": 5, "sendNo": 0, "reason": 200});
    assert!(dispatches(&send_batch(&mut host, 15, &[late]).unwrap()).is_empty());
    let reply = send_batch(&mut host, 20, &[json!({"kind": "TEARDOWN"})]).unwrap();
    assert_eq!(reply, json!({"parts": []}));
}

#[test]
fn unknown_events_are_ignored_and_malformed_events_are_errors() {
    let mut host = Host::default();
    send_batch(&mut host, 5, &[spawn(), json!({"kind": "NEWS"}), json!({"kind": "BEGUN"})]).unwrap();
    let error =
        send_batch(&mut host, 10, &[json!({"kind": "REQUEST", "txn": "r", "class": "c"})]).unwrap_err();
    assert_eq!(error, "REQUEST: lacks expiresInUs");
    assert!(host.handle_batch("[").unwrap_err().starts_with("not a batch"));
    assert_eq!(host.handle_batch(r#"{"atTimeUs": 1, "parts": []}"#).unwrap(), json!({"parts": []}));
}

#[test]
fn a_panic_ends_the_instance_with_its_message() {
    let panic = catch_unwind(|| panic!("index {}", 7)).unwrap_err();
    assert_eq!(panic_step(panic.as_ref()), json!({"kind": "GIVE_IN", "msg": "index 7"}));
}
