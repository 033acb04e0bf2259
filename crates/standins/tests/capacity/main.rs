//! Whether `docs/CAPACITY.md` adds up and agrees with what was measured: its tables are read, and each row is checked
//! against its limit, its source and the repository's files. Small tables with one wrong cell each show that a change is
//! found.

mod checks;
mod page;
mod record;

use std::fs;

use checks::{Checked, Fault, Wrong};
use page::{Kind, Page, Unread, Verdict};
use record::{Record, points, slopes, tells};

const SMALL: &str = "
| size | value | worked out as |
| --- | --- | --- |
| routers | 1,800 | given |
| engines | 2,400 | given |
| clients | 11,000,000 | given |
| clients a router | 6,111 | clients / routers |
| pairs | 4,320,000 | routers x engines |

| limit on | value | unit | where from |
| --- | --- | --- | --- |
| memory of a router | 131,072 | KB | assumed |
| bytes of its control | 3,000 | bytes a second | given |

| run | command |
| --- | --- |
| engines | `cargo run --release -p woadhook-standins --example scale -- engines` |
| clients | `cargo run --release -p woadhook-standins --example scale -- clients` |
| Gossip | `cargo run --release -p woadhook-standins --example gossip_scale -- 400` |

| axis | size | measure | unit | value |
| --- | --- | --- | --- | --- |
| engines | 2,400 | memory | KB | 6,200 |

| role | kind | what | slope | unit | size | of what | fixed | at the target | limit | verdict | mechanism | source |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
| router | memory | lines of engines | 0.5 | KB | 2,400 | engines | 5,000 | 6,200 | 131,072 | under | list, `src/logic.rs` | slopes.csv: engines/memory |
| router | memory | connections | 20 | KB | 6,111 | clients a router | 6,000 | 128,220 | 131,072 | under | rooms, `crates/router/src/memory.rs` | slopes.csv: clients/memory |
| router | memory | in all | - | KB | - | - | 6,000 | 129,420 | 131,072 | under | rooms, `crates/router/src/memory.rs` | sum: router, lines of engines + router, connections |
| control part | messages | gossip | 0 | bytes a second | 1,800 | routers | 4,937 | 4,937 | 3,000 | over | missing: a slower pace | results.md: Gossip |
| control part | messages | gossip of all | 4,937 | bytes a second | 1,800 | routers | 0 | 8,886,600 | - | no limit | pace, `crates/gossip/src/budget.rs` | row: control part, gossip |
| engine | state | datagrams' room | 1,200 | bytes | 1,800 | routers | 0 | 2,160,000 | - | no limit | `crates/gossip/src/wire.rs` | code: `crates/gossip/src/wire.rs` MAX_DATAGRAM_BYTES |
| engine | memory | as a router's | 6,200 | KB | 1,800 | routers | 0 | 11,160,000 | - | no limit | `src/records.rs` | point: engines/2,400/memory |
| client | memory | its own | - | KB | - | - | - | - | - | not measured | missing: a client of the project's own | not measured: clients are the users' |
";

const SLOPES: &str = "axis,measure,unit,slope,intercept,residual,points
engines,memory,KB,0.5004,4998.2,3.1,5
clients,memory,KB,20.01,6000,3.1,5
";

const POINTS: &str = "axis,size,measure,unit,value,runs
engines,80,memory,KB,5040.0,3
engines,2400,memory,KB,6200.0,3
";

fn small_record() -> Record {
    let results = "# Results\n\n## Slow peers\n\n| 3 | 4,938 |\n\n## Gossip\n\n| calm | 4,937 (so much) |\n\n## Simulated\n";
    Record {
        slopes: slopes(SLOPES),
        points: points(POINTS),
        results: results.to_owned(),
        ..Record::of_repository()
    }
}

fn faults(words: &str) -> Vec<Fault> {
    let (page, record) = (Page::read(words).unwrap(), small_record());
    Checked { page: &page, record: &record }.faults()
}

/// The small tables with one cell changed, which stands there once.
fn changed(from: &str, to: &str) -> String {
    assert_eq!(SMALL.matches(from).count(), 1, "'{from}'");
    SMALL.replace(from, to)
}

/// What is found first once a cell is changed.
fn found(from: &str, to: &str) -> Wrong {
    faults(&changed(from, to)).into_iter().next().expect("a fault").wrong
}

fn unread(from: &str, to: &str) -> Unread {
    Page::read(&changed(from, to)).expect_err("a cell that can't be read")
}

fn repository_page() -> String {
    fs::read_to_string(Record::of_repository().root.join("docs/CAPACITY.md")).unwrap()
}

fn listed(faults: &[Fault]) -> String {
    faults.iter().map(|fault| format!("{fault}\n")).collect()
}

#[test]
fn the_page_adds_up_and_agrees_with_what_was_measured() {
    let page = Page::read(&repository_page()).unwrap_or_else(|unread| panic!("{unread}"));
    let record = Record::of_repository();
    let checked = Checked { page: &page, record: &record };
    let faults = checked.faults();
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), listed(&faults));
}

#[test]
fn the_page_leaves_out_nothing_of_a_role_or_failure() {
    let page = Page::read(&repository_page()).unwrap_or_else(|unread| panic!("{unread}"));
    let record = Record::of_repository();
    let gaps = Checked { page: &page, record: &record }.gaps();
    assert!(gaps.is_empty(), "{} gaps:\n{}", gaps.len(), listed(&gaps));
}

/// What each row comes to, one after another, raised by a fiftieth: it rests on all the row's other figures.
#[test]
fn a_figure_changed_anywhere_on_the_page_is_found() {
    const AT_TARGET: usize = 9;
    const RAISED: f64 = 1.02;
    let words = repository_page();
    let unchanged = count_faults(&words);
    let rows = words.lines().filter(|line| page::PARTS.iter().any(|part| is_row_of(line, part.names)));
    for line in rows {
        let mut cells: Vec<&str> = line.split('|').collect();
        let Some(figure) = page::figure(cells[AT_TARGET].trim()).filter(|figure| *figure != 0.0) else {
            continue;
        };
        let raised = (figure * RAISED).to_string();
        cells[AT_TARGET] = &raised;
        let changed = words.replacen(line, &cells.join("|"), 1);
        assert!(count_faults(&changed) > unchanged, "{line}");
    }
}

fn count_faults(words: &str) -> usize {
    let page = Page::read(words).unwrap_or_else(|unread| panic!("{unread}"));
    Checked { page: &page, record: &Record::of_repository() }.faults().len()
}

fn is_row_of(line: &str, names: &[&str]) -> bool {
    names.iter().any(|name| line.starts_with(&format!("| {name} |")))
}

#[test]
fn the_small_tables_are_without_fault() {
    assert_eq!(faults(SMALL), []);
}

#[test]
fn a_wrong_sum_is_found() {
    assert_eq!(
        found("| 5,000 | 6,200 |", "| 5,000 | 6,300 |"),
        Wrong::Arithmetic { written: 6300.0, worked_out: 6200.0 }
    );
    assert!(matches!(found("| 129,420 |", "| 128,000 |"), Wrong::Arithmetic { .. }));
    assert!(matches!(found("| 8,886,600 |", "| 8,800,000 |"), Wrong::Arithmetic { .. }));
    assert!(matches!(found("- | - | 6,000 | 129,420", "- | - | 5,000 | 128,420"), Wrong::Arithmetic { .. }));
}

#[test]
fn a_wrong_size_is_found() {
    let wrong = found("| 6,111 | clients / routers |", "| 6,200 | clients / routers |");
    assert!(matches!(wrong, Wrong::Arithmetic { written: 6200.0, .. }));
    assert!(matches!(found("| 4,320,000 |", "| 4,200,000 |"), Wrong::Arithmetic { .. }));
    assert_eq!(
        found("| KB | 2,400 | engines", "| KB | 2,500 | engines"),
        Wrong::Size { written: 2500.0, listed: 2400.0 }
    );
    assert_eq!(
        found("| KB | 2,400 | engines", "| KB | 2,400 | engine"),
        Wrong::UnknownSize("engine".to_owned())
    );
    assert_eq!(found("| 1,800 | given |", "| 1,800 | known |"), Wrong::UnknownSize("known".to_owned()));
}

#[test]
fn a_wrong_verdict_is_found() {
    let over = found("| 6,200 | 131,072 | under |", "| 6,200 | 131,072 | over |");
    assert_eq!(over, Wrong::Verdict { written: Verdict::Over, worked_out: Verdict::Under });
    let under = found("| 3,000 | over |", "| 3,000 | under |");
    assert_eq!(under, Wrong::Verdict { written: Verdict::Under, worked_out: Verdict::Over });
    assert!(matches!(
        found("| - | - | not measured | missing", "| - | - | under | missing"),
        Wrong::Verdict { .. }
    ));
}

#[test]
fn a_limit_that_is_not_listed_is_found() {
    let wrong = found("| 6,200 | 131,072 |", "| 6,200 | 140,000 |");
    assert_eq!(wrong, Wrong::UnknownLimit { value: 140_000.0, unit: "KB".to_owned() });
}

#[test]
fn a_mechanism_that_does_not_exist_is_found() {
    assert_eq!(found("`src/logic.rs`", "`src/magic.rs`"), Wrong::NoSuchFile("src/magic.rs".to_owned()));
    assert_eq!(found("list, `src/logic.rs`", "list"), Wrong::NoMechanism);
    assert_eq!(found("missing: a slower pace", "missing: "), Wrong::OverWithoutMissing);
    assert_eq!(found("missing: a slower pace", "pace, `src/logic.rs`"), Wrong::OverWithoutMissing);
}

#[test]
fn a_figure_apart_from_the_measured_one_is_found() {
    let slope = found(
        "| 0.5 | KB | 2,400 | engines | 5,000 | 6,200 |",
        "| 0.6 | KB | 2,400 | engines | 5,000 | 6,440 |",
    );
    assert_eq!(slope, Wrong::Measured { column: "slope", written: 0.6, measured: 0.5004 });
    let fixed = found("| engines | 5,000 | 6,200 |", "| engines | 5,200 | 6,400 |");
    assert_eq!(fixed, Wrong::Measured { column: "fixed", written: 5200.0, measured: 4998.2 });
    assert!(matches!(found("engines/memory", "engines/memories"), Wrong::NoSuchSlope { .. }));
    let unit = found(
        "0.5 | KB | 2,400 | engines | 5,000 | 6,200 | 131,072 | under",
        "0.5 | MB | 2,400 | engines | 5,000 | 6,200 | - | no limit",
    );
    assert_eq!(unit, Wrong::Unit { written: "MB".to_owned(), measured: "KB".to_owned() });
}

#[test]
fn a_point_apart_from_the_measured_one_is_found() {
    let wrong = found("| memory | KB | 6,200 |", "| memory | KB | 6,300 |");
    assert_eq!(wrong, Wrong::Measured { column: "value", written: 6300.0, measured: 6200.0 });
    let wrong = found(
        "6,200 | KB | 1,800 | routers | 0 | 11,160,000",
        "6,300 | KB | 1,800 | routers | 0 | 11,340,000",
    );
    assert_eq!(wrong, Wrong::Measured { column: "slope", written: 6300.0, measured: 6200.0 });
    assert_eq!(found("engines/2,400/memory", "engines/2,500/memory"), Wrong::NoSuchPoint);
    assert_eq!(found("| engines | 2,400 | memory |", "| engines | 2,500 | memory |"), Wrong::NoSuchPoint);
    let wrong = found("| memory | KB | 6,200 |", "| memory | MB | 6,200 |");
    assert_eq!(wrong, Wrong::Unit { written: "MB".to_owned(), measured: "KB".to_owned() });
}

#[test]
fn a_figure_that_is_not_recorded_is_found() {
    let wrong = found("| routers | 4,937 | 4,937 |", "| routers | 4,938 | 4,938 |");
    assert_eq!(wrong, Wrong::NotRecorded { heading: "Gossip".to_owned(), figure: 4938.0 });
    assert_eq!(found("results.md: Gossip", "results.md: Gosip"), Wrong::NoSuchHeading("Gosip".to_owned()));
    let wrong = found("row: control part, gossip", "row: control part, talk");
    assert_eq!(wrong, Wrong::NoSuchRow("control part, talk".to_owned()));
    assert!(matches!(found("wire.rs` MAX_DATAGRAM_BYTES", "wire.rs` LETTER"), Wrong::NotInFile { .. }));
}

#[test]
fn a_figure_without_a_run_is_found() {
    let wrong = found("| client | memory | its own | - |", "| client | memory | its own | 3 |");
    assert_eq!(wrong, Wrong::FigureUnmeasured("slope"));
    assert_eq!(found("not measured: clients are the users'", "not measured: "), Wrong::NoArgument);
    assert_eq!(found("| 0.5 | KB | 2,400", "| - | KB | 2,400"), Wrong::FigureMissing("slope"));
    assert_eq!(found("| Gossip |", "| Gossips |"), Wrong::NoCommand("Gossip".to_owned()));
}

#[test]
fn a_row_that_stands_there_twice_is_found() {
    assert_eq!(
        found("| router | memory | connections |", "| router | memory | lines of engines |"),
        Wrong::Twice
    );
}

#[test]
fn a_gap_is_found() {
    let (page, record) = (Page::read(SMALL).unwrap(), small_record());
    let gaps = Checked { page: &page, record: &record }.gaps();
    let gap = |of: &str, kind| Fault { row: of.to_owned(), wrong: Wrong::KindMissing(kind) };
    assert!(gaps.contains(&gap("router", Kind::ProcessorTime)));
    assert!(gaps.contains(&gap("rack", Kind::Refusals)));
    assert!(!gaps.contains(&gap("router", Kind::Memory)));
}

#[test]
fn a_cell_that_cant_be_read_is_named_with_its_row() {
    let wrong = unread("| 5,000 | 6,200 |", "| 5,000 | some |");
    assert_eq!((wrong.column, wrong.cell.as_str()), ("at the target", "some"));
    assert_eq!(wrong.row, "router, memory, lines of engines");
    assert_eq!(unread("| client | memory |", "| customer | memory |").column, "role");
    assert_eq!(unread("| client | memory |", "| client | memories |").column, "kind");
    assert_eq!(unread("| 3,000 | over |", "| 3,000 | above |").column, "verdict");
    assert_eq!(unread("results.md: Gossip", "Gossip").column, "source");
}

#[test]
fn a_recorded_figure_is_found_as_a_number_of_its_own() {
    assert!(tells("| 10.0 | 4,937 (cards)", 4937.0));
    assert!(tells("takes 0.26 KB.", 0.26));
    assert!(!tells("| 14,937 |", 4937.0));
}
