//! The bench's wire protocol, flint-ad08: one JSON line per batch and per reply. Only this module uses the
//! protocol's names.

use std::any::Any;
use std::collections::{BTreeMap, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};

use serde_json::{Value, json};
use woadhook::*;
use woadhook_host::Instance;
use woadhook_host::fields::*;

/// All instances of this process. They share only the numbered pages of the engine list.
#[derive(Default)]
pub struct Host {
    instances: HashMap<String, Instance>,
    pages: BTreeMap<u64, Vec<Value>>,
}

impl Host {
    /// Applies the events of one batch and returns the reply to it.
    pub fn handle_batch(&mut self, line: &str) -> Result<Value> {
        let batch: Value = serde_json::from_str(line).map_err(|error| format!("not a batch: {error}"))?;
        let now = Moment::from_micros(integer(&batch, "atTimeUs")?);
        let mut replies = Vec::new();
        for part in array(&batch, "parts")? {
            let events = array(part, "happened")?;
            let who = text(part, "who").ok();
            for event in events {
                self.apply(now, who, event)?;
            }
            let Some(who) = who else { continue };
            let Some(instance) = self.instances.get_mut(who) else { continue };
            let mut steps = Vec::new();
            if let Err(panic) = catch_unwind(AssertUnwindSafe(|| decide(instance, now, &mut steps))) {
                self.instances.remove(who);
                steps = vec![panic_step(panic.as_ref())];
            }
            if !steps.is_empty() {
                replies.push(json!({"who": who, "steps": steps}));
            }
        }
        Ok(json!({"parts": replies}))
    }

    fn apply(&mut self, now: Moment, who: Option<&str>, event: &Value) -> Result<()> {
        let kind = text(event, "kind")?;
        let owner = || who.ok_or_else(|| format!("{kind} lacks who"));
        let with_kind = |error: String| format!("{kind}: {error}");
        match kind {
            "SNAPSHOT_ROWS" => {
                let page = integer(event, "page").map_err(with_kind)?;
                self.pages.insert(page, array(event, "items").map_err(with_kind)?.to_vec());
            }
            "SPAWN" => {
                let instance = start(now, event).map_err(with_kind)?;
                self.instances.insert(owner()?.to_owned(), instance);
            }
            "TEARDOWN" => {
                self.instances.remove(owner()?);
            }
            _ => {
                let Some(instance) = self.instances.get_mut(owner()?) else { return Ok(()) };
                apply(instance, now, kind, event, &self.pages).map_err(with_kind)?;
            }
        }
        Ok(())
    }
}

fn start(now: Moment, event: &Value) -> Result<Instance> {
    Instance::start(now, integer(event, "initSeed")?, required(event, "bootInfo")?)
}

fn apply(
    instance: &mut Instance, now: Moment, kind: &str, event: &Value, pages: &BTreeMap<u64, Vec<Value>>,
) -> Result<()> {
    match kind {
        "REGISTRY" => apply_list(instance, now, event, pages)?,
        "REQUEST" => {
            let job = JobId(instance.jobs.intern(text(event, "txn")?));
            let present_fields = integer(event, "bitmap").unwrap_or(0);
            let estimate = if present_fields & 1 == 1 { Some(span(event, "costUs")?) } else { None };
            let type_id = TypeId(index_of(&instance.types, text(event, "class")?, "class")?);
            let key = text(event, "target").ok().and_then(|key| instance.intern_key(type_id, key));
            instance.router.job_arrived(
                now,
                job,
                type_id,
                text(event, "account").ok().and_then(|name| position(&instance.tenants, name)).map(TenantId),
                GroupId(integer(event, "schemaNo").unwrap_or(0) as usize),
                key,
                estimate,
                number(event, "estMemoryMb").unwrap_or(0.0),
                span(event, "expiresInUs")?,
            );
        }
        "REPORT_BACK" => {
            apply_load_report(instance, now, event)?;
            let job = instance.jobs.get(text(event, "txn")?);
            let (number, took) = (integer(event, "sendNo")? as usize, span(event, "lagUs")?);
            let outcome = outcome(event)?;
            let closes_job = flag(event, "noMore");
            // `usedUp` is the true cost: the work in milliseconds times 4096, plus the memory in units of 4
            // MB.
            let true_cost = integer(event, "usedUp")
                .ok()
                .filter(|_| instance.costs_in_answers)
                .map(|packed| (Span::from_micros(packed / 4096 * 1000), (packed % 4096) as f64 * 4.0));
            if let Some(job) = job {
                instance.router.dispatch_ended(now, JobId(job), number, outcome, took, true_cost, closes_job);
            }
        }
        "INTERIM" => {
            let job = instance.jobs.get(text(event, "txn")?);
            let (number, level) = (integer(event, "sendNo")? as usize, number(event, "level").unwrap_or(0.0));
            let progress = match (integer(event, "what")?, level) {
                (1, fraction) => Progress::Fraction(fraction),
                (2, missing) => Progress::Spills(missing),
                (3, 1.0) => Progress::WaitsForMemory,
                (3, _) => Progress::WaitsForLoad,
                _ => return Ok(()),
            };
            if let Some(job) = job {
                instance.router.progress_reported(now, JobId(job), number, progress);
            }
        }
        "SAMPLED" => {
            apply_load_report(instance, now, event)?;
            let outcome = outcome(event)?;
            if let Some(engine) = instance.engines.get(text(event, "engine")?) {
                instance.router.probe_ended(now, EngineId(engine), outcome);
            }
        }
        "WITHDRAWN" => {
            if let Some(job) = instance.jobs.get(text(event, "txn")?) {
                instance.router.job_closed(JobId(job));
            }
        }
        // A timer only makes the caller pull decisions. Messages of other instances, streams and unknown
        // events are ignored.
        _ => {}
    }
    Ok(())
}

fn apply_list(
    instance: &mut Instance, now: Moment, event: &Value, pages: &BTreeMap<u64, Vec<Value>>,
) -> Result<()> {
    let mode = text(event, "mode")?;
    if mode == "unavailable" {
        instance.router.list_unavailable();
        return Ok(());
    }
    let page = integer(event, "page")?;
    let items = pages.get(&page).ok_or_else(|| format!("page: no list {page}"))?;
    let mut listed = Vec::with_capacity(items.len());
    for item in items {
        let engine = EngineId(instance.engines.intern(text(item, "engine")?));
        let status = match text(item, "phase")? {
            "live" => EngineStatus::Live,
            "quiescing" => EngineStatus::Draining,
            "dead" => EngineStatus::Gone,
            other => return Err(format!("phase: unknown {other}")),
        };
        let came_up = integer(item, "cameUpUs").ok().filter(|&at| at > 0);
        // The bench and the engines use the same clock, so this age is exact.
        let age = |at| now.since(Moment::from_micros(at));
        let start = came_up.map(|stamp| EngineStart { stamp, age: age(stamp) });
        let zone = ZoneId(index_of(&instance.zones, text(item, "area")?, "area")?);
        let kind = KindId(index_of(&instance.kinds, text(item, "familyType")?, "familyType")?);
        let cell = CellId(integer(item, "stripe").unwrap_or(0) as usize);
        let stable_hash = instance.engines.stable_hash(engine.0);
        instance.router.engine_listed(now, engine, zone, kind, cell, status, start, stable_hash);
        listed.push(engine);
    }
    match mode {
        "update" => instance.router.list_changed(),
        "restored" | "replace" => instance.router.list_complete(&listed),
        other => return Err(format!("mode: unknown {other}")),
    }
    Ok(())
}

fn apply_load_report(instance: &mut Instance, now: Moment, event: &Value) -> Result<()> {
    let Ok(values) = numbers(event, "pressure") else { return Ok(()) };
    if let Some(engine) = instance.engines.get(text(event, "engine")?) {
        instance.load_reported(now, EngineId(engine), |index, _| values.get(index).copied());
    }
    Ok(())
}

fn decide(instance: &mut Instance, now: Moment, steps: &mut Vec<Value>) {
    while let Some(decision) = instance.router.next_decision(now) {
        match decision {
            Decision::Dispatch { job, engine, timeout, memory, priority, .. } => {
                let txn = instance.jobs.name(job.0);
                steps.push(json!({"kind": "ALLOT", "txn": txn, "memMb": memory, "rank": priority}));
                let engine = instance.engines.name(engine.0);
                let timeout = timeout.micros();
                steps.push(json!({"kind": "DELIVER", "txn": txn, "engine": engine, "maxWaitUs": timeout}));
            }
            Decision::CancelDispatch { job, number } => {
                let txn = instance.jobs.name(job.0);
                steps.push(json!({"kind": "ABANDON", "txn": txn, "sendNo": number}));
            }
            Decision::Throttle { job, come_back, .. } => {
                let mut step = json!({"kind": "SHED", "txn": instance.jobs.name(job.0)});
                if let Some(span) = come_back {
                    step["comeBackUs"] = span.micros().into();
                }
                steps.push(step);
            }
            Decision::CancelForGood { job, .. } => {
                steps.push(json!({"kind": "END_FAILED", "txn": instance.jobs.name(job.0)}));
            }
            Decision::Probe { engine } => {
                steps.push(json!({"kind": "SAMPLE", "engine": instance.engines.name(engine.0)}));
            }
            Decision::Subscribe => steps.push(json!({"kind": "SUBSCRIBE", "want": true})),
            Decision::Wake { after } => {
                steps.push(json!({"kind": "AFTER", "spanUs": after.micros(), "tag": "wake"}));
            }
            Decision::SetAside { engine, why } => {
                let message = format!("engine {} set aside: {}", engine.0, why.description());
                steps.push(json!({"kind": "RECORD", "msg": message}));
            }
            Decision::Back { engine } => {
                steps.push(json!({"kind": "RECORD", "msg": format!("engine {} is back", engine.0)}));
            }
            Decision::Forget(Forgotten::Job(job)) => instance.jobs.release(job.0),
            Decision::Forget(Forgotten::Key(key)) => instance.keys.release(key.0),
            Decision::Forget(Forgotten::Engine(engine)) => instance.engines.release(engine.0),
        }
    }
}

/// The last step of an instance that panicked.
pub fn panic_step(panic: &(dyn Any + Send)) -> Value {
    let message = panic.downcast_ref::<String>().map(String::as_str);
    let message = message.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
    json!({"kind": "GIVE_IN", "msg": message})
}

fn outcome(event: &Value) -> Result<Outcome> {
    Ok(match integer(event, "reason")? {
        200 => Outcome::Done,
        500 => Outcome::Error,
        503 => Outcome::TurnedAway,
        504 => Outcome::TimedOut,
        502 => Outcome::NotConnected,
        598 => Outcome::Reset,
        499 => Outcome::Cancelled,
        410 => Outcome::NotIssued,
        other => return Err(format!("reason: unknown {other}")),
    })
}
