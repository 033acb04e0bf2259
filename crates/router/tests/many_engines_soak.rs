//! A short part of the soak with very many engines. It is a file of its own, as tests of one file run beside
//! each other and `many_engines.rs` compares processor times.

use woadhook_standins::{folders, many_engines_soak};

const SOAK_ROUTERS: usize = 4;
const SOAK_ENGINES: usize = 1_600;
/// The tests' build has no optimization and needs several times the processor time.
const SHARE_FACTOR_OF_BUILD: f64 = 4.0;

/// Guards against answers that are late, missing or doubled, and dispatches after a withdrawal or a drain,
/// while faults overlap in a fleet with very many engines; a short part of `examples/many_engines_soak.rs`.
#[test]
fn overlapping_faults_break_no_rule_with_very_many_engines() {
    for seed in [62, 63] {
        let folder = folders::run_folder(env!("CARGO_TARGET_TMPDIR"), &format!("many-engines-{seed}"));
        let (program, length_ms) = (env!("CARGO_BIN_EXE_woadhook"), 6_000);
        let tally = many_engines_soak::run(
            program,
            &folder,
            seed,
            SOAK_ROUTERS,
            SOAK_ENGINES,
            length_ms,
            SHARE_FACTOR_OF_BUILD,
        );
        let schedule = || many_engines_soak::draw(seed, SOAK_ROUTERS, SOAK_ENGINES, length_ms);
        let tally = tally.unwrap_or_else(|fault| panic!("seed {seed}: {fault}\nschedule: {:#?}", schedule()));
        assert!(tally.served > 100, "{tally:?}");
    }
}
