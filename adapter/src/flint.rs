//! The bench's wire, flint-ad08: one JSON line for each batch and for each reply. Its names end here.

use std::any::Any;
use std::collections::{BTreeMap, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};

use serde_json::{Value, json};
use woadhook::*;

use crate::door::Door;

type Result<T> = std::result::Result<T, String>;

/// All instances of this process. They share the numbered pages of the engine list, and nothing else.
#[derive(Default)]
pub struct Host {
    instances: HashMap<String, Instance>,
    pages: BTreeMap<u64, Vec<Value>>,
}

/// One router and the names that it is told by index.
struct Instance {
    router: Router,
    jobs: Door,
    keys: Door,
    engines: Door,
    types: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
    report_names: Vec<String>,
    costs_told: bool,
}

impl Host {
    /// Takes in one batch and returns the reply to it.
    pub fn answer(&mut self, line: &str) -> Result<Value> {
        let batch: Value = serde_json::from_str(line).map_err(|error| format!("not a batch: {error}"))?;
        let now = Moment::from_micros(whole(&batch, "atTimeUs")?);
        let mut replies = Vec::new();
        for part in rows(&batch, "parts")? {
            let events = rows(part, "happened")?;
            let who = text(part, "who").ok();
            for event in events {
                self.take_in(now, who, event)?;
            }
            let Some(who) = who else { continue };
            let Some(instance) = self.instances.get_mut(who) else { continue };
            let mut steps = Vec::new();
            if let Err(panic) = catch_unwind(AssertUnwindSafe(|| instance.decide(now, &mut steps))) {
                self.instances.remove(who);
                steps = vec![give_in(panic.as_ref())];
            }
            if !steps.is_empty() {
                replies.push(json!({"who": who, "steps": steps}));
            }
        }
        Ok(json!({"parts": replies}))
    }

    fn take_in(&mut self, now: Moment, who: Option<&str>, event: &Value) -> Result<()> {
        let kind = text(event, "kind")?;
        let owner = || who.ok_or_else(|| format!("{kind} lacks who"));
        let named = |fault: String| format!("{kind}: {fault}");
        match kind {
            "SNAPSHOT_ROWS" => {
                let page = whole(event, "page").map_err(named)?;
                self.pages.insert(page, rows(event, "items").map_err(named)?.to_vec());
            }
            "SPAWN" => {
                let instance = Instance::start(now, event).map_err(named)?;
                self.instances.insert(owner()?.to_owned(), instance);
            }
            "TEARDOWN" => {
                self.instances.remove(owner()?);
            }
            _ => {
                let Some(instance) = self.instances.get_mut(owner()?) else { return Ok(()) };
                instance.take_in(now, kind, event, &self.pages).map_err(named)?;
            }
        }
        Ok(())
    }
}

impl Instance {
    fn start(now: Moment, event: &Value) -> Result<Self> {
        let seed = whole(event, "initSeed")?;
        let info = present(event, "bootInfo")?;
        let (limits, rules, family) =
            (present(info, "limits")?, present(info, "obligations")?, present(info, "familyInfo")?);
        let (prices, feedback) = (present(info, "prices")?, present(info, "feedback")?);
        let zones = names(info, "zones")?;
        let kinds = names(info, "kinds")?;
        let classes = rows(info, "classes")?;
        let types = classes.iter().enumerate().map(|(place, class)| {
            let effect = match text(class, "effect")? {
                "repeatable" => Effect::Restartable,
                "by_key" => Effect::Keyed {
                    scope: match text(class, "dedupScope")? {
                        "all" => Scope::All,
                        "zone" => Scope::Zone,
                        "cell" => Scope::Cell,
                        other => return Err(format!("dedupScope: unknown {other}")),
                    },
                    window: span(class, "windowUs")?,
                },
                "once" => Effect::RunOnce,
                other => return Err(format!("effect: unknown {other}")),
            };
            Ok(ReservationType {
                sla: span(class, "goalTimeUs")?,
                sla_stretch: number(class, "aimStretch").unwrap_or(0.0),
                timeout: span(class, "deadlineUs")?,
                billed: number(class, "gain")?,
                late_share: number(class, "lateWorth")?,
                effect,
                ordered: mark(class, "keepOrder"),
                zones: places(class, "runsIn", &zones).map(|open| open.into_iter().map(ZoneId).collect()),
                kinds: places(class, "kindsOpen", &kinds).map(|open| open.into_iter().map(KindId).collect()),
                threads: numbers(family, "widthByClass")?.get(place).copied().unwrap_or(1.0).max(1.0),
                is_load: mark_at(family, "isLoad", place),
                waits_for_loads: mark_at(family, "waitsForLoads", place),
            })
        });
        let types = types.collect::<Result<Vec<_>>>()?;
        let tenants = rows(info, "tenants")?;
        let allowances =
            tenants.iter().map(|tenant| number(tenant, "allowancePerS")).collect::<Result<Vec<_>>>()?;
        let ration = match (number(rules, "freeResends"), number(rules, "extraRatio")) {
            (Err(_), Err(_)) => None,
            (free, share) => Some(Ration {
                free: free.unwrap_or(0.0),
                share: share.unwrap_or(0.0),
                window: span(rules, "countedOverUs")?,
            }),
        };
        let how = text(feedback, "how")?;
        let fleet = Fleet {
            zone: ZoneId(place(&zones, text(info, "zone")?, "zone")?),
            replicas: whole(info, "replicasOfMe")? as usize,
            number: whole(info, "myNumber")? as usize,
            cores: numbers(family, "coresByKind")?,
            memory: numbers(family, "ramOfKindMb")?,
            crossing_price: number(prices, "crossZone").unwrap_or(0.0),
        };
        let cold = ColdStart {
            factor: number(rules, "overloadFactor")?,
            fall: span(rules, "fallUs")?,
            start_capacity: number(rules, "startCapacity")?,
            cold_for: span(rules, "coldUs")?,
        };
        let further = Further {
            try_limit: whole(limits, "tryLimit")? as usize,
            copies: mark(limits, "secondCopies"),
            cancelling: mark(limits, "cancelling"),
            turn_gap: span(rules, "turnGapUs").unwrap_or_default(),
            ration,
        };
        let asked = text(info, "discovery")? == "on_request";
        let watching = Watching {
            may_probe: mark(limits, "mayProbe"),
            reports_by_probe: how == "probe",
            connect_timeout: span(limits, "connectTimeoutUs")?,
            note_period: span(family, "notePeriodUs").unwrap_or_default(),
            ask_within: asked.then(|| span(rules, "askWithinUs")).transpose()?,
        };
        let answers = Answers {
            slack: span(rules, "answerSlackUs")?,
            come_back: mark(limits, "retryAfter").then(|| span(limits, "maxRetryAfterUs")).transpose()?,
            by_work: text(info, "worthBy").is_ok_and(|by| by == "work"),
            over_share: number(info, "overShareWorth").unwrap_or(1.0),
            allowances,
        };
        let terms = Terms {
            grants: mark(family, "takesGrants"),
            most_grant: number(family, "maxGrantShare").unwrap_or(1.0),
        };
        let router = Router::new(now, seed, types, fleet, cold, further, watching, answers, terms);
        Ok(Self {
            router,
            jobs: Door::default(),
            keys: Door::default(),
            engines: Door::default(),
            types: classes
                .iter()
                .map(|class| text(class, "name").map(str::to_owned))
                .collect::<Result<_>>()?,
            tenants: tenants
                .iter()
                .map(|tenant| text(tenant, "name").map(str::to_owned))
                .collect::<Result<_>>()?,
            zones,
            kinds,
            report_names: if how == "none" { Vec::new() } else { names(feedback, "names")? },
            costs_told: mark(family, "costInAnswers"),
        })
    }

    fn take_in(
        &mut self, now: Moment, kind: &str, event: &Value, pages: &BTreeMap<u64, Vec<Value>>,
    ) -> Result<()> {
        match kind {
            "REGISTRY" => self.follow_list(now, event, pages)?,
            "REQUEST" => {
                let job = JobId(self.jobs.admit(text(event, "txn")?));
                let bits = whole(event, "bitmap").unwrap_or(0);
                let told = if bits & 1 == 1 { Some(span(event, "costUs")?) } else { None };
                self.router.job_arrived(
                    now,
                    job,
                    TypeId(place(&self.types, text(event, "class")?, "class")?),
                    text(event, "account").ok().and_then(|name| position(&self.tenants, name)).map(TenantId),
                    GroupId(whole(event, "schemaNo").unwrap_or(0) as usize),
                    text(event, "target").ok().map(|key| KeyId(self.keys.admit(key))),
                    told,
                    number(event, "estMemoryMb").unwrap_or(0.0),
                    span(event, "expiresInUs")?,
                );
            }
            "REPORT_BACK" => {
                self.take_report(now, event)?;
                let job = self.jobs.find(text(event, "txn")?);
                let (number, took) = (whole(event, "sendNo")? as usize, span(event, "lagUs")?);
                let outcome = outcome(event)?;
                let over = mark(event, "noMore");
                let told = whole(event, "usedUp")
                    .ok()
                    .filter(|_| self.costs_told)
                    .map(|note| (Span::from_micros(note / 4096 * 1000), (note % 4096) as f64 * 4.0));
                if let Some(job) = job {
                    self.router.dispatch_ended(now, JobId(job), number, outcome, took, told, over);
                }
            }
            "INTERIM" => {
                let job = self.jobs.find(text(event, "txn")?);
                let (sent, level) = (whole(event, "sendNo")? as usize, number(event, "level").unwrap_or(0.0));
                let progress = match (whole(event, "what")?, level) {
                    (1, share) => Progress::Share(share),
                    (2, missing) => Progress::Spills(missing),
                    (3, 1.0) => Progress::WaitsForMemory,
                    (3, _) => Progress::WaitsForLoad,
                    _ => return Ok(()),
                };
                if let Some(job) = job {
                    self.router.progressed(now, JobId(job), sent, progress);
                }
            }
            "SAMPLED" => {
                self.take_report(now, event)?;
                let outcome = outcome(event)?;
                if let Some(engine) = self.engines.find(text(event, "engine")?) {
                    self.router.probe_ended(now, EngineId(engine), outcome);
                }
            }
            "WITHDRAWN" => {
                if let Some(job) = self.jobs.find(text(event, "txn")?) {
                    self.router.job_over(JobId(job));
                }
            }
            // Timers only wake the module; messages of neighbours, streams and what is unknown have no use.
            _ => {}
        }
        Ok(())
    }

    fn follow_list(&mut self, now: Moment, event: &Value, pages: &BTreeMap<u64, Vec<Value>>) -> Result<()> {
        let mode = text(event, "mode")?;
        if mode == "unavailable" {
            self.router.list_unavailable();
            return Ok(());
        }
        let page = whole(event, "page")?;
        let items = pages.get(&page).ok_or_else(|| format!("page: no list {page}"))?;
        let mut named = Vec::with_capacity(items.len());
        for item in items {
            let engine = EngineId(self.engines.admit(text(item, "engine")?));
            let listed = match text(item, "phase")? {
                "live" => Listed::Live,
                "quiescing" => Listed::Draining,
                "dead" => Listed::Gone,
                other => return Err(format!("phase: unknown {other}")),
            };
            let came_up = whole(item, "cameUpUs").ok().filter(|&at| at > 0).map(Moment::from_micros);
            self.router.engine_listed(
                now,
                engine,
                ZoneId(place(&self.zones, text(item, "area")?, "area")?),
                KindId(place(&self.kinds, text(item, "familyType")?, "familyType")?),
                CellId(whole(item, "stripe").unwrap_or(0) as usize),
                listed,
                came_up,
            );
            named.push(engine);
        }
        match mode {
            "update" => self.router.list_changed(),
            "restored" | "replace" => self.router.list_complete(&named),
            other => return Err(format!("mode: unknown {other}")),
        }
        Ok(())
    }

    fn take_report(&mut self, now: Moment, event: &Value) -> Result<()> {
        let Ok(values) = numbers(event, "pressure") else { return Ok(()) };
        let value = |name| position(&self.report_names, name).and_then(|place| values.get(place)).copied();
        let (active, waiting, cpu, disks) = (value("active"), value("waiting"), value("cpu"), value("x1"));
        if let Some(engine) = self.engines.find(text(event, "engine")?) {
            self.router.reported(now, EngineId(engine), active, waiting, cpu, disks);
        }
        Ok(())
    }

    fn decide(&mut self, now: Moment, steps: &mut Vec<Value>) {
        while let Some(decision) = self.router.next_decision(now) {
            match decision {
                Decision::Dispatch { job, engine, timeout, memory, priority } => {
                    let txn = self.jobs.name(job.0);
                    steps.push(json!({"kind": "ALLOT", "txn": txn, "memMb": memory, "rank": priority}));
                    let engine = self.engines.name(engine.0);
                    let wait = timeout.micros();
                    steps.push(json!({"kind": "DELIVER", "txn": txn, "engine": engine, "maxWaitUs": wait}));
                }
                Decision::CancelDispatch { job, number } => {
                    let txn = self.jobs.name(job.0);
                    steps.push(json!({"kind": "ABANDON", "txn": txn, "sendNo": number}));
                }
                Decision::Throttle { job, come_back } => {
                    let mut step = json!({"kind": "SHED", "txn": self.jobs.name(job.0)});
                    if let Some(span) = come_back {
                        step["comeBackUs"] = span.micros().into();
                    }
                    steps.push(step);
                }
                Decision::CancelForGood { job } => {
                    steps.push(json!({"kind": "END_FAILED", "txn": self.jobs.name(job.0)}));
                }
                Decision::Probe { engine } => {
                    steps.push(json!({"kind": "SAMPLE", "engine": self.engines.name(engine.0)}));
                }
                Decision::Subscribe => steps.push(json!({"kind": "SUBSCRIBE", "want": true})),
                Decision::Wake { after } => {
                    steps.push(json!({"kind": "AFTER", "spanUs": after.micros(), "tag": "wake"}));
                }
                Decision::Log(line) => steps.push(json!({"kind": "RECORD", "msg": line})),
                Decision::Forget(Forgotten::Job(job)) => self.jobs.forget(job.0),
                Decision::Forget(Forgotten::Key(key)) => self.keys.forget(key.0),
                Decision::Forget(Forgotten::Engine(engine)) => self.engines.forget(engine.0),
            }
        }
    }
}

fn give_in(panic: &(dyn Any + Send)) -> Value {
    let words = panic.downcast_ref::<String>().map(String::as_str);
    let words = words.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
    json!({"kind": "GIVE_IN", "msg": words})
}

fn outcome(event: &Value) -> Result<Outcome> {
    Ok(match whole(event, "reason")? {
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

fn present<'a>(value: &'a Value, field: &str) -> Result<&'a Value> {
    value.get(field).filter(|found| !found.is_null()).ok_or_else(|| format!("lacks {field}"))
}

fn typed<'a, T>(value: &'a Value, field: &str, read: impl Fn(&'a Value) -> Option<T>) -> Result<T> {
    read(present(value, field)?).ok_or_else(|| format!("{field} is malformed"))
}

fn text<'a>(value: &'a Value, field: &str) -> Result<&'a str> {
    typed(value, field, Value::as_str)
}

fn whole(value: &Value, field: &str) -> Result<u64> {
    typed(value, field, |found| found.as_u64().or_else(|| found.as_f64().map(|f| f.max(0.0) as u64)))
}

fn number(value: &Value, field: &str) -> Result<f64> {
    typed(value, field, Value::as_f64)
}

fn span(value: &Value, field: &str) -> Result<Span> {
    whole(value, field).map(Span::from_micros)
}

fn rows<'a>(value: &'a Value, field: &str) -> Result<&'a [Value]> {
    typed(value, field, |found| found.as_array().map(Vec::as_slice))
}

fn numbers(value: &Value, field: &str) -> Result<Vec<f64>> {
    rows(value, field)?
        .iter()
        .map(|found| found.as_f64().ok_or_else(|| format!("{field} is malformed")))
        .collect()
}

fn names(value: &Value, field: &str) -> Result<Vec<String>> {
    let name = |found: &Value| found.as_str().map(str::to_owned);
    rows(value, field)?.iter().map(|v| name(v).ok_or_else(|| format!("{field} is malformed"))).collect()
}

fn mark(value: &Value, field: &str) -> bool {
    value.get(field).and_then(Value::as_bool).unwrap_or(false)
}

fn mark_at(value: &Value, field: &str, place: usize) -> bool {
    value.get(field).and_then(|marks| marks.get(place)).and_then(Value::as_bool).unwrap_or(false)
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

fn place(names: &[String], name: &str, field: &str) -> Result<usize> {
    position(names, name).ok_or_else(|| format!("{field}: unknown {name}"))
}

/// The places among `names` that an optional field lists; those not among them are nowhere to be met.
fn places(value: &Value, field: &str, names: &[String]) -> Option<Vec<usize>> {
    let listed = rows(value, field).ok()?;
    Some(listed.iter().filter_map(Value::as_str).filter_map(|name| position(names, name)).collect())
}

#[cfg(test)]
mod tests {
    use super::*;

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

    fn play(host: &mut Host, at: u64, events: &[Value]) -> Result<Value> {
        let batch = json!({"atTimeUs": at, "parts": [{"who": "router_0", "happened": events}]});
        host.answer(&batch.to_string())
    }

    /// The job and engine of each dispatch in a reply.
    fn sent(reply: &Value) -> Vec<(&str, &str)> {
        let steps = reply["parts"][0]["steps"].as_array().map(Vec::as_slice).unwrap_or_default();
        let sent = steps.iter().filter(|step| step["kind"] == "DELIVER");
        sent.map(|step| (step["txn"].as_str().unwrap(), step["engine"].as_str().unwrap())).collect()
    }

    #[test]
    fn pages_are_resolved_in_event_order_though_their_numbers_are_reused() {
        let mut host = Host::default();
        let events = [spawn(), page("one"), list("restored"), page("two"), list("replace"), request("r")];
        let reply = play(&mut host, 5, &events).unwrap();
        assert_eq!(sent(&reply), [("r", "two")]);
    }

    #[test]
    fn a_killed_instance_forgets_all_and_starts_again_in_the_same_batch() {
        let mut host = Host::default();
        play(&mut host, 5, &[spawn(), page("one"), list("restored"), request("old")]).unwrap();
        let events = [json!({"kind": "TEARDOWN"}), spawn(), page("two"), list("restored"), request("new")];
        let reply = play(&mut host, 10, &events).unwrap();
        assert_eq!(sent(&reply), [("new", "two")]);
        let late = json!({"kind": "REPORT_BACK", "txn": "old", "engine": "one", "lagUs": 5, "sendNo": 0, "reason": 200});
        assert!(sent(&play(&mut host, 15, &[late]).unwrap()).is_empty());
        let reply = play(&mut host, 20, &[json!({"kind": "TEARDOWN"})]).unwrap();
        assert_eq!(reply, json!({"parts": []}));
    }

    #[test]
    fn unknown_events_are_passed_over_and_malformed_ones_named() {
        let mut host = Host::default();
        play(&mut host, 5, &[spawn(), json!({"kind": "NEWS"}), json!({"kind": "BEGUN"})]).unwrap();
        let fault = play(&mut host, 10, &[json!({"kind": "REQUEST", "txn": "r", "class": "c"})]).unwrap_err();
        assert_eq!(fault, "REQUEST: lacks expiresInUs");
        assert!(host.answer("[").unwrap_err().starts_with("not a batch"));
        assert_eq!(host.answer(r#"{"atTimeUs": 1, "parts": []}"#).unwrap(), json!({"parts": []}));
    }

    #[test]
    fn a_panic_gives_in_with_its_text() {
        let panic = catch_unwind(|| panic!("index {}", 7)).unwrap_err();
        assert_eq!(give_in(panic.as_ref()), json!({"kind": "GIVE_IN", "msg": "index 7"}));
    }
}
