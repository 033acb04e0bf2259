//! A router of the decision module, built from the settings, and the mapping between names (of jobs, keys,
//! engines, types and others) and the indices that the module uses for them.

use serde_json::Value;
use woadhook::*;

use crate::fields::*;
use crate::interner::Interner;

/// A router of the decision module and the mapping between names and the indices that it uses.
pub struct Instance {
    pub router: Router,
    pub jobs: Interner,
    pub keys: Interner,
    pub engines: Interner,
    /// Names of the reservation types, by index.
    pub types: Vec<String>,
    /// Whether jobs with the same order key run in order, by type.
    ordered: Vec<bool>,
    /// Whether a job must not run more than once, by type.
    effects: Vec<Effect>,
    /// Whether two dispatches of a job may be in flight at once.
    pub concurrent_dispatches: bool,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// Names of the values in a load report, in their order.
    pub report_fields: Vec<String>,
    /// Whether answers contain the true cost of their job.
    pub costs_in_answers: bool,
}

/// The longest retry-after time that clients respect; `None` if the settings state that clients are sent no
/// retry-after time.
pub fn max_retry_after(limits: &Value) -> Result<Option<Span>> {
    flag(limits, "retryAfter").then(|| span(limits, "maxRetryAfterUs")).transpose()
}

impl Instance {
    /// Builds a router from the settings object, which is the same in every protocol.
    pub fn start(now: Moment, seed: u64, info: &Value) -> Result<Self> {
        // `familyInfo` describes the engines: cores and memory by kind of machine, threads by type, progress
        // notifications and memory grants.
        let (limits, rules, engine_settings) =
            (required(info, "limits")?, required(info, "obligations")?, required(info, "familyInfo")?);
        let (prices, feedback) = (required(info, "prices")?, required(info, "feedback")?);
        let zones = strings(info, "zones")?;
        let kinds = strings(info, "kinds")?;
        let classes = array(info, "classes")?;
        let types = classes.iter().enumerate().map(|(index, class)| {
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
                zones: indices_of(class, "runsIn", &zones)
                    .map(|allowed| allowed.into_iter().map(ZoneId).collect()),
                kinds: indices_of(class, "kindsOpen", &kinds)
                    .map(|allowed| allowed.into_iter().map(KindId).collect()),
                threads: numbers(engine_settings, "widthByClass")?
                    .get(index)
                    .copied()
                    .unwrap_or(1.0)
                    .max(1.0),
                is_load: flag_at(engine_settings, "isLoad", index),
                waits_for_loads: flag_at(engine_settings, "waitsForLoads", index),
            })
        });
        let types = types.collect::<Result<Vec<_>>>()?;
        let tenants = array(info, "tenants")?;
        let tenant_rates =
            tenants.iter().map(|tenant| number(tenant, "allowancePerS")).collect::<Result<Vec<_>>>()?;
        let retry_budget = match (number(rules, "freeResends"), number(rules, "extraRatio")) {
            (Err(_), Err(_)) => None,
            (free_retries, retry_ratio) => Some(RetryBudget {
                free_retries: free_retries.unwrap_or(0.0),
                retry_ratio: retry_ratio.unwrap_or(0.0),
                window: span(rules, "countedOverUs")?,
            }),
        };
        let report_mode = text(feedback, "how")?;
        let fleet = Fleet {
            zone: ZoneId(index_of(&zones, text(info, "zone")?, "zone")?),
            router_count: integer(info, "replicasOfMe")? as usize,
            router_index: integer(info, "myNumber")? as usize,
            cores_by_kind: numbers(engine_settings, "coresByKind")?,
            memory_mb_by_kind: numbers(engine_settings, "ramOfKindMb")?,
            cross_zone_cost: number(prices, "crossZone").unwrap_or(0.0),
        };
        let cold = ColdStart {
            overload_factor: number(rules, "overloadFactor")?,
            overload_window: span(rules, "fallUs")?,
            start_capacity: number(rules, "startCapacity")?,
            cold_period: span(rules, "coldUs")?,
        };
        let retry_limits = RetryLimits {
            max_dispatches: integer(limits, "tryLimit")? as usize,
            concurrent_dispatches: flag(limits, "secondCopies"),
            can_cancel: flag(limits, "cancelling"),
            key_pause: span(rules, "turnGapUs").unwrap_or_default(),
            retry_budget,
        };
        let list_on_request = text(info, "discovery")? == "on_request";
        let monitoring = Monitoring {
            may_probe: flag(limits, "mayProbe"),
            reports_with_probes_only: report_mode == "probe",
            connect_timeout: span(limits, "connectTimeoutUs")?,
            progress_period: span(engine_settings, "notePeriodUs").unwrap_or_default(),
            max_list_age: list_on_request.then(|| span(rules, "askWithinUs")).transpose()?,
        };
        let answer_policy = AnswerPolicy {
            answer_tolerance: span(rules, "answerSlackUs")?,
            max_retry_after: max_retry_after(limits)?,
            value_by_work: text(info, "worthBy").is_ok_and(|by| by == "work"),
            over_share_factor: number(info, "overShareWorth").unwrap_or(1.0),
            tenant_rates,
        };
        let memory_grants = MemoryGrants {
            enabled: flag(engine_settings, "takesGrants"),
            max_grant_share: number(engine_settings, "maxGrantShare").unwrap_or(1.0),
        };
        let ordered = types.iter().map(|t| t.ordered).collect();
        let effects = types.iter().map(|t| t.effect).collect();
        let concurrent_dispatches = retry_limits.concurrent_dispatches;
        let router = Router::new(
            now,
            seed,
            types,
            fleet,
            cold,
            retry_limits,
            monitoring,
            answer_policy,
            memory_grants,
        );
        Ok(Self {
            router,
            jobs: Interner::default(),
            keys: Interner::default(),
            engines: Interner::default(),
            ordered,
            effects,
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
            report_fields: if report_mode == "none" { Vec::new() } else { strings(feedback, "names")? },
            costs_in_answers: flag(engine_settings, "costInAnswers"),
        })
    }

    /// The index of an order key, if the type keeps order. For other types no index is assigned: the module
    /// ignores their keys, so it would never return `Decision::Forget` for such an index, which would stay
    /// allocated.
    pub fn intern_key(&mut self, type_id: TypeId, name: &str) -> Option<KeyId> {
        self.ordered[type_id.0].then(|| KeyId(self.keys.intern(name)))
    }

    /// Whether jobs of a type must not run more than once.
    pub fn is_run_once(&self, type_id: TypeId) -> bool {
        self.effects[type_id.0] == Effect::RunOnce
    }

    /// Whether jobs of a type may run any number of times.
    pub fn is_restartable(&self, type_id: TypeId) -> bool {
        self.effects[type_id.0] == Effect::Restartable
    }

    /// Passes a load report to the router. `value` returns the report's value for a name, given the name and
    /// its index in `report_fields`.
    pub fn load_reported(
        &mut self, now: Moment, engine: EngineId, value: impl Fn(usize, &str) -> Option<f64>,
    ) {
        let value = |name| position(&self.report_fields, name).and_then(|index| value(index, name));
        // The protocols call the utilization of the disks `x1`.
        let (active, waiting, cpu, disks) = (value("active"), value("waiting"), value("cpu"), value("x1"));
        self.router.load_reported(now, engine, active, waiting, cpu, disks);
    }
}
