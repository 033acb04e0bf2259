//! The command line.

use std::env;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use woadhook::Span;
use woadhook_gossip::keys::{
    ClusterId, MemberId, Pass, Revocation, SecretKey, VoterSet, public_key_from_text, public_key_to_text,
};
use woadhook_host::Instance;
use woadhook_operator::{OperatorFile, page, subprocess};
use woadhook_router::clock::Clock;
use woadhook_router::file_reads::FileReads;
use woadhook_router::gossip::GossipSetup;
use woadhook_router::keyfiles::Keys;
use woadhook_router::signals::SignalHandlers;
use woadhook_router::tasks::Tasks;
use woadhook_router::{config, keyfiles, serve};

use crate::logs::{self, Format};

/// How long the shutdown waits for the last log lines to be written. SIGKILL comes 0.1 s after the last
/// answers are due.
const SHUTDOWN_FLUSH_TIMEOUT: Duration = Duration::from_millis(50);
/// How long a router that can't start waits for the reason to be written to its log.
const FAILURE_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// A router for queries on a pool of sql engines. Without a command it runs one with the configuration that
/// `LB_CONFIG` names.
#[derive(Parser)]
#[command(name = "woadhook", version)]
pub struct CommandLine {
    /// Format of log lines; takes precedence over the operator file
    #[arg(long, global = true, value_enum, value_name = "FORMAT")]
    log_format: Option<Format>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs one router until SIGTERM; on SIGHUP it reads the configuration and the operator file again
    Run(OperatorArgs),
    /// Checks the operator file and the configuration, and prints the settings
    Check {
        #[command(flatten)]
        operator: OperatorArgs,
        /// The platform's configuration; by default the file that `LB_CONFIG` names
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Manages keys, passes, orders and revocations for gossip between instances
    #[command(subcommand)]
    Key(Key),
    /// Prints the reference page of all fields of the operator file
    Fields,
    #[command(name = subprocess::EVALUATE_COMMAND, hide = true)]
    Evaluate { file: PathBuf },
}

#[derive(Args, Default)]
struct OperatorArgs {
    /// The operator file (Jsonnet): settings of this installation beside the platform's configuration
    #[arg(long = "operator", value_name = "FILE", env = "WOADHOOK_OPERATOR")]
    file: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Key {
    /// Creates a secret key that only its owner can read, and prints its public key
    New { file: PathBuf },
    /// Shows what a key file, pass, order or list of revocations holds, but never the secret itself
    Show { file: PathBuf },
    /// Signs a pass with the operator's key
    Admit {
        #[command(flatten)]
        signing: SigningArgs,
        /// The instance's name
        #[arg(long)]
        name: String,
        /// Days until the pass ends
        #[arg(long, default_value_t = 365, value_parser = clap::value_parser!(u32).range(1..=3650))]
        days: u32,
        /// The file to write
        #[arg(long, value_name = "FILE")]
        to: PathBuf,
    },
    /// Signs the order that names the voters on the state that all routers follow
    Order {
        /// The operator's secret key
        #[arg(long, value_name = "FILE")]
        operator_key: PathBuf,
        #[arg(long)]
        cluster: String,
        /// Number of the order, higher than that of any earlier one; the first is 1. A new one
        /// starts over with these voters, from what they know
        #[arg(long)]
        epoch: u64,
        /// A voter's public key, 64 hex digits; one to seven voters, preferably three or five in as many
        /// zones
        #[arg(long = "voter", value_name = "HEX", value_parser = public_key_from_text, required = true)]
        voters: Vec<[u8; 32]>,
        /// The file to write
        #[arg(long, value_name = "FILE")]
        to: PathBuf,
    },
    /// Adds a key to a list of revocations, signed with the operator's key
    Revoke {
        #[command(flatten)]
        signing: SigningArgs,
        /// Days for which the revocation is kept; at least as long as the key's pass is still valid
        #[arg(long, default_value_t = 365, value_parser = clap::value_parser!(u32).range(1..=3650))]
        days: u32,
        /// The list of revocations
        #[arg(long, value_name = "FILE")]
        list: PathBuf,
    },
}

#[derive(Args)]
struct SigningArgs {
    /// The operator's secret key
    #[arg(long, value_name = "FILE")]
    operator_key: PathBuf,
    #[arg(long)]
    cluster: String,
    /// The instance's public key, 64 hex digits
    #[arg(long, value_name = "HEX", value_parser = public_key_from_text)]
    member: [u8; 32],
}

pub fn execute(line: CommandLine) -> ExitCode {
    let succeeded = match line.command {
        None => run(OperatorArgs::default(), line.log_format),
        Some(Command::Run(operator)) => run(operator, line.log_format),
        Some(Command::Check { operator, config }) => print_outcome(check(operator.file.as_deref(), config)),
        Some(Command::Key(key)) => print_outcome(execute_key_command(key)),
        Some(Command::Fields) => print_outcome(Ok(page::fields_markdown())),
        Some(Command::Evaluate { file }) => print_outcome(subprocess::run_child(&file)),
    };
    if succeeded { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn print_outcome(outcome: Result<String, String>) -> bool {
    match &outcome {
        Ok(output) => print!("{output}"),
        Err(error) => eprintln!("{error}"),
    }
    outcome.is_ok()
}

fn read_operator(file: Option<&Path>) -> Result<OperatorFile, String> {
    let Some(file) = file else { return Ok(OperatorFile::default()) };
    let program = env::current_exe().map_err(|error| error.to_string())?;
    OperatorFile::load(&program, file)
}

/// Runs a router until it has been stopped.
fn run(OperatorArgs { file }: OperatorArgs, format: Option<Format>) -> bool {
    // The signals are caught before anything that may take time. Threat: a signal that the operators send
    // before the handlers are installed would end the process.
    let signals = SignalHandlers::new();
    let operator = file.clone();
    let read = FileReads::new(move || read_operator(operator.as_deref()));
    let operator_file = signals.and_then(|mut signals| {
        let operator_file = async_io::block_on(signals.read_at_start(read))?;
        Ok(operator_file.map(|operator_file| (operator_file, signals)))
    });
    let section =
        operator_file.as_ref().ok().and_then(|operator_file| operator_file.as_ref()?.0.section("log"));
    let configured_format = section.filter(|section| section.text("format") == "json").map(|_| Format::Json);
    let level = section.map_or("info", |section| section.text("level"));
    let log = logs::start(format.or(configured_format).unwrap_or(Format::Text), level);
    let outcome = operator_file.and_then(|operator_file| match operator_file {
        Some((operator_file, signals)) => run_router(operator_file, file, signals),
        None => Ok(()),
    });
    if let Err(error) = &outcome {
        error.lines().for_each(|line| log::error!("{line}"));
    }
    let flush_timeout = if outcome.is_ok() { SHUTDOWN_FLUSH_TIMEOUT } else { FAILURE_FLUSH_TIMEOUT };
    log.flush(flush_timeout);
    outcome.is_ok()
}

/// Reads the files and starts the router. If a stop signal comes before that, there is nothing to stop.
fn run_router(
    operator_file: OperatorFile, file: Option<PathBuf>, mut signals: SignalHandlers,
) -> Result<(), String> {
    let file_for_keys = operator_file.clone();
    let read = FileReads::new(move || Ok((config::read()?, read_keys(&file_for_keys)?)));
    let Some((router_config, keys)) = async_io::block_on(signals.read_at_start(read))? else { return Ok(()) };
    let sections = operator_file.section("gossip").zip(operator_file.section("accord")).zip(keys);
    let gossip_setup =
        sections.map(|((gossip, accord), keys)| GossipSetup::open(gossip, accord, keys)).transpose()?;
    let listener = TcpListener::bind(router_config.listen)
        .map_err(|error| format!("{}: {error}", router_config.listen))?;
    // Only keys, passes, orders and revocations of the operator file take effect before the next start.
    let key_reads =
        file.filter(|_| gossip_setup.is_some()).map(|file| FileReads::new(move || read_keys_again(&file)));
    let commands = signals.commands(FileReads::new(config::read), key_reads);
    let tasks = Tasks::default();
    async_io::block_on(tasks.run(serve(
        tasks,
        router_config,
        listener,
        commands,
        gossip_setup,
        &operator_file,
    )))
}

/// Reads the keys that the operator file names, if it enables gossip.
fn read_keys(operator_file: &OperatorFile) -> Result<Option<Keys>, String> {
    operator_file.section("gossip").map(|section| Keys::read(section, Clock::start().now())).transpose()
}

fn read_keys_again(file: &Path) -> Result<Box<Keys>, String> {
    let keys = read_keys(&read_operator(Some(file))?)?;
    keys.map(Box::new).ok_or_else(|| format!("{}: no section gossip", file.display()))
}

fn check(operator: Option<&Path>, config: Option<PathBuf>) -> Result<String, String> {
    let now = Clock::start().now();
    let mut output = String::new();
    if let Some(file) = operator {
        let operator_file = read_operator(Some(file))?;
        for (path, value) in operator_file.fields() {
            output.push_str(&format!("{path} = {value}\n"));
        }
        let unreadable = operator_file.unreadable_files();
        if !unreadable.is_empty() {
            return Err(unreadable
                .iter()
                .map(|error| format!("{}: {error}", file.display()))
                .collect::<Vec<_>>()
                .join("\n"));
        }
        if let Some(section) = operator_file.section("gossip") {
            let keys = Keys::read(section, now).map_err(|error| format!("{}: {error}", file.display()))?;
            let days = keys.identity.until().since(now).secs() / 86_400.0;
            if let Some(voter_set) = &keys.order {
                output.push_str(&describe_voter_set(voter_set));
            }
            if let Some(accord) = operator_file.section("accord") {
                woadhook_router::gossip::accord_config(accord)
                    .map_err(|error| format!("{}: {error}", file.display()))?;
            }
            output.push_str(&format!(
                "member {} {}, pass ends in {days:.0} days\n",
                keys.identity.name(),
                keys.identity.id()
            ));
        }
    }
    let path = config.or_else(|| env::var_os("LB_CONFIG").map(PathBuf::from));
    if let Some(path) = path {
        let shown = path.display();
        let text = config::read_file(&path)?;
        let router_config = config::parse(&text, None).map_err(|error| format!("{shown}: {error}"))?;
        Instance::start(now, router_config.seed, &router_config.settings)
            .map_err(|error| format!("{shown}: settings: {error}"))?;
        output.push_str(&format!(
            "listen = {}\nbulletin = {}\nmemory_mb = {}\nsockets = {}\n",
            router_config.listen,
            router_config.discovery_address,
            router_config.memory_mb,
            router_config.max_descriptors
        ));
    } else if operator.is_none() {
        return Err("nothing to check: give --operator FILE, --config FILE or LB_CONFIG".to_owned());
    }
    Ok(output)
}

fn days(count: u32) -> Span {
    Span::from_micros(u64::from(count) * 86_400_000_000)
}

fn execute_key_command(key: Key) -> Result<String, String> {
    let now = Clock::start().now();
    match key {
        Key::New { file } => {
            let mut bytes = zeroize::Zeroizing::new([0; 32]);
            getrandom::fill(&mut *bytes).map_err(|error| error.to_string())?;
            let secret = SecretKey::from_bytes(&bytes);
            keyfiles::write_secret(&file, &secret)?;
            Ok(format!("{}\n", public_key_to_text(&secret.public())))
        }
        Key::Show { file } => describe_file(&file),
        Key::Admit { signing, name, days: count, to } => {
            let operator = keyfiles::read_secret(&signing.operator_key)?;
            let pass = Pass::issue(
                &operator,
                &name,
                signing.member,
                ClusterId::from_name(&signing.cluster),
                now,
                now + days(count),
            )?;
            keyfiles::write_new(&to, pass.to_text().as_bytes(), 0o644)?;
            Ok(format!("{} {}, {count} days\n", pass.name, pass.id()))
        }
        Key::Order { operator_key, cluster, epoch, voters, to } => {
            let operator = keyfiles::read_secret(&operator_key)?;
            let voter_set = VoterSet::issue(&operator, ClusterId::from_name(&cluster), epoch, &voters)?;
            keyfiles::write_new(&to, voter_set.to_text().as_bytes(), 0o644)?;
            Ok(describe_voter_set(&voter_set))
        }
        Key::Revoke { signing, days: count, list } => {
            let operator = keyfiles::read_secret(&signing.operator_key)?;
            let mut revocations = if list.exists() { keyfiles::read_revocations(&list)? } else { Vec::new() };
            let revocation = Revocation::issue(
                &operator,
                &signing.member,
                ClusterId::from_name(&signing.cluster),
                now + days(count),
            );
            revocations.retain(|old| old.member != revocation.member && old.until > now);
            revocations.push(revocation);
            keyfiles::write_revocations(&list, &revocations)?;
            Ok(format!(
                "{} is revoked; {} on the list\n",
                MemberId::of_key(&signing.member),
                revocations.len()
            ))
        }
    }
}

fn describe_voter_set(voter_set: &VoterSet) -> String {
    let voters: Vec<String> = voter_set.voters.iter().map(MemberId::to_string).collect();
    format!("epoch {} with {} voters: {}\n", voter_set.epoch, voters.len(), voters.join(" "))
}

fn describe_file(file: &Path) -> Result<String, String> {
    if let Ok(pass) = keyfiles::read_pass(file) {
        let now = Clock::start().now();
        let days_left = pass.until.since(now).secs() / 86_400.0;
        let state =
            if days_left > 0.0 { format!("ends in {days_left:.1} days") } else { "has ended".to_owned() };
        return Ok(format!(
            "pass of {} ({}), {state}\nkey {}\n",
            pass.name,
            pass.id(),
            public_key_to_text(&pass.key)
        ));
    }
    if let Ok(voter_set) = keyfiles::read_order(file) {
        return Ok(describe_voter_set(&voter_set));
    }
    if let Ok(list) = keyfiles::read_revocations(file) {
        return Ok(list.iter().map(|each| format!("revoked {}\n", each.member)).collect());
    }
    let secret = keyfiles::read_secret(file)?;
    let public = secret.public();
    Ok(format!("secret key of {}\npublic {}\n", MemberId::of_key(&public), public_key_to_text(&public)))
}
