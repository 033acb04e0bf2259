//! One router of the module, built from the settings, with the names that its host tells it by index.

use serde_json::Value;
use woadhook::*;

use crate::fields::*;
use crate::interner::Interner;

/// One router and the names that it is told by index.
pub struct Instance {
    pub router: Router,
    pub jobs: Interner,
    pub keys: Interner,
    pub engines: Interner,
    pub types: Vec<String>,
    /// By type: whether it keeps order by key.
    ordered: Vec<bool>,
    /// By type: whether it must not run twice.
    run_once: Vec<bool>,
    /// Whether two dispatches of a job may be out at once.
    pub concurrent_dispatches: bool,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub report_fields: Vec<String>,
    pub costs_in_answers: bool,
}

/// The longest come-back time that clients heed, where they are told one.
pub fn max_retry_after(limits: &Value) -> Result<Option<Span>> {
    flag(limits, "retryAfter").then(|| span(limits, "maxRetryAfterUs")).transpose()
}

impl Instance {
    /// A router built from the settings object, the same on every wire.
    pub fn start(now: Moment, seed: u64, info: &Value) -> Result<Self> {
        let (limits, rules, family) =
            (required(info, "limits")?, required(info, "obligations")?, required(info, "familyInfo")?);
        let (prices, feedback) = (required(info, "prices")?, required(info, "feedback")?);
        let zones = strings(info, "zones")?;
        let kinds = strings(info, "kinds")?;
        let classes = array(info, "classes")?;
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
                billed_value: number(class, "gain")?,
                late_value_share: number(class, "lateWorth")?,
                effect,
                ordered: flag(class, "keepOrder"),
                zones: indices_of(class, "runsIn", &zones).map(|open| open.into_iter().map(ZoneId).collect()),
                kinds: indices_of(class, "kindsOpen", &kinds)
                    .map(|open| open.into_iter().map(KindId).collect()),
                threads: numbers(family, "widthByClass")?.get(place).copied().unwrap_or(1.0).max(1.0),
                is_load: flag_at(family, "isLoad", place),
                waits_for_loads: flag_at(family, "waitsForLoads", place),
            })
        });
        let types = types.collect::<Result<Vec<_>>>()?;
        let tenants = array(info, "tenants")?;
        let tenant_rates =
            tenants.iter().map(|tenant| number(tenant, "allowancePerS")).collect::<Result<Vec<_>>>()?;
        let retry_budget = match (number(rules, "freeResends"), number(rules, "extraRatio")) {
            (Err(_), Err(_)) => None,
            (free, share) => Some(RetryBudget {
                free_retries: free.unwrap_or(0.0),
                retry_ratio: share.unwrap_or(0.0),
                window: span(rules, "countedOverUs")?,
            }),
        };
        let how = text(feedback, "how")?;
        let fleet = Fleet {
            zone: ZoneId(index_of(&zones, text(info, "zone")?, "zone")?),
            router_count: integer(info, "replicasOfMe")? as usize,
            router_index: integer(info, "myNumber")? as usize,
            cores_by_kind: numbers(family, "coresByKind")?,
            memory_mb_by_kind: numbers(family, "ramOfKindMb")?,
            cross_zone_cost: number(prices, "crossZone").unwrap_or(0.0),
        };
        let cold = ColdStart {
            overload_factor: number(rules, "overloadFactor")?,
            overload_window: span(rules, "fallUs")?,
            start_capacity: number(rules, "startCapacity")?,
            cold_period: span(rules, "coldUs")?,
        };
        let further = RetryLimits {
            max_dispatches: integer(limits, "tryLimit")? as usize,
            concurrent_dispatches: flag(limits, "secondCopies"),
            can_cancel: flag(limits, "cancelling"),
            key_rest: span(rules, "turnGapUs").unwrap_or_default(),
            retry_budget,
        };
        let asked = text(info, "discovery")? == "on_request";
        let watching = Monitoring {
            may_probe: flag(limits, "mayProbe"),
            reports_with_probes_only: how == "probe",
            connect_timeout: span(limits, "connectTimeoutUs")?,
            progress_period: span(family, "notePeriodUs").unwrap_or_default(),
            max_list_age: asked.then(|| span(rules, "askWithinUs")).transpose()?,
        };
        let answers = AnswerPolicy {
            slack: span(rules, "answerSlackUs")?,
            max_retry_after: max_retry_after(limits)?,
            value_by_work: text(info, "worthBy").is_ok_and(|by| by == "work"),
            over_share_factor: number(info, "overShareWorth").unwrap_or(1.0),
            tenant_rates,
        };
        let terms = MemoryGrants {
            enabled: flag(family, "takesGrants"),
            max_grant_share: number(family, "maxGrantShare").unwrap_or(1.0),
        };
        let ordered = types.iter().map(|kind| kind.ordered).collect();
        let run_once = types.iter().map(|kind| kind.effect == Effect::RunOnce).collect();
        let concurrent_dispatches = further.concurrent_dispatches;
        let router = Router::new(now, seed, types, fleet, cold, further, watching, answers, terms);
        Ok(Self {
            router,
            jobs: Interner::default(),
            keys: Interner::default(),
            engines: Interner::default(),
            ordered,
            run_once,
            concurrent_dispatches,
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
            report_fields: if how == "none" { Vec::new() } else { strings(feedback, "names")? },
            costs_in_answers: flag(family, "costInAnswers"),
        })
    }

    /// The index of a key, where the type keeps order; the module would never let go of another.
    pub fn intern_key(&mut self, kind: TypeId, name: &str) -> Option<KeyId> {
        self.ordered[kind.0].then(|| KeyId(self.keys.intern(name)))
    }

    /// Whether jobs of a type must not run twice.
    pub fn is_run_once(&self, kind: TypeId) -> bool {
        self.run_once[kind.0]
    }

    /// A load report; `value` finds what it holds for a name, by its place among `report_fields` or by itself.
    pub fn load_reported(
        &mut self, now: Moment, engine: EngineId, value: impl Fn(usize, &str) -> Option<f64>,
    ) {
        let value = |name| position(&self.report_fields, name).and_then(|place| value(place, name));
        let (active, waiting, cpu, disks) = (value("active"), value("waiting"), value("cpu"), value("x1"));
        self.router.load_reported(now, engine, active, waiting, cpu, disks);
    }
}
