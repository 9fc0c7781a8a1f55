//! Shutdowns under use: signals and configurations come in series and overlap, clients ask until the process is gone, and it
//! may lack processor time. Judged by the clients' and the servers' books alone.

mod shutdown_simulation;

use nickeljunction_messages::{ServerInfo, ServerState};
use shutdown_simulation::*;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, JoinSet, LocalSet};

/// Shutdowns that a run of all tests plays; `SHUTDOWNS` asks for others, `SHUTDOWN_FROM` for the first.
const SHUTDOWNS: u64 = 10;
/// Clients at a time.
const CLIENTS: u64 = 80;
/// Servers, of which each configuration leaves another one out.
const SERVERS: u64 = 8;
/// When SIGTERM comes, ms of the operators' clock.
const TERM_MS: f64 = 1_000.0;
/// A request whose connection ends sooner than this after its last byte may not have been read whole, ms.
const LOSS_SLACK_MS: f64 = 200.0;
/// Requests sent no later than this after SIGTERM may be cut in the last sixth of the grace, if servers are at work, ms.
const EARLY_MS: f64 = 3_000.0;

/// What is drawn for one shutdown.
struct Plan {
    stalls: Vec<Stall>,
    /// SIGHUP and SIGTERM, once more and in any order, ms of the operators' clock.
    hups: Vec<f64>,
    terms: Vec<f64>,
    configs: Vec<f64>,
}

impl Plan {
    fn draw(seed: u64) -> Plan {
        let mut draws = fastrand::Rng::with_seed(seed);
        let mut times =
            |count: usize| (0..count).map(|_| TERM_MS + (draws.f64() - 0.1) * GRACE_MS).collect::<Vec<f64>>();
        let (hups, configs) = (times(8), times(8));
        let mut terms: Vec<f64> = times(6).into_iter().map(|at| at.max(TERM_MS)).collect();
        terms.push(TERM_MS);
        let stalls = match seed % 5 {
            // All that it wants.
            0 => Vec::new(),
            // None for a while around SIGTERM, and for a longer one.
            1 | 2 => {
                let least = if seed % 5 == 1 { 0.0 } else { 900.0 };
                vec![Stall(TERM_MS - draws.f64() * 300.0, TERM_MS + least + draws.f64() * 500.0)]
            }
            // A quota: none for the rest of each tenth of a second.
            3 => {
                let part_ms = 20.0 + draws.f64() * 60.0;
                (0..90)
                    .map(|tenth| f64::from(tenth) * 100.0)
                    .map(|at| Stall(at + part_ms, at + 100.0))
                    .collect()
            }
            // None at any moments.
            _ => times(8).into_iter().map(|at| Stall(at, at + draws.f64() * 150.0)).collect(),
        };
        Plan { stalls, hups, terms, configs }
    }
}

struct Played {
    seen: Vec<Seen>,
    runs: BTreeMap<String, Vec<Run>>,
    plan: Plan,
    ended: f64,
}

async fn play(seed: u64) -> Played {
    let plan = Plan::draw(seed);
    let time = Time::start();
    let (runs, book) = (Rc::default(), Rc::new(RefCell::new(Vec::new())));
    let mut lines = Vec::new();
    for number in 0..SERVERS {
        lines.push(Server::start(time, number, seed, &runs).await);
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let gateway = listener.local_addr().expect("bound");
    let (orders, received) = mpsc::unbounded_channel();
    let _ = orders.send(Order::Config(0, lines.clone()));
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        clients.spawn_local(Client { time, number, seed, gateway, book: book.clone() }.run());
    }
    let others = plan.hups.iter().map(|at| (*at, 0)).chain(plan.terms.iter().map(|at| (*at, 1)));
    for (at, kind) in others.chain(plan.configs.iter().map(|at| (*at, 2))) {
        let (orders, mut lines) = (orders.clone(), lines.clone());
        spawn_local(async move {
            time.until(at).await;
            lines.remove(at as usize % SERVERS as usize);
            let _ = orders.send(match kind {
                0 => Order::Hup,
                1 => Order::Term,
                _ => Order::Config(at as u32 % 900, lines),
            });
        });
    }
    let ended = process(time, listener, seed, &plan.stalls, received, TERM_MS + GRACE_MS).await;
    sleep(1_000.0).await;
    clients.shutdown().await;
    let (seen, runs) = (book.take(), runs.take());
    Played { seen, runs, plan, ended }
}

impl Played {
    /// Why a request counts as lost; `None`: it doesn't.
    fn lost(&self, seen: &Seen) -> Option<&'static str> {
        let runs = self.runs.get(&seen.id).map_or(&[][..], |runs| &runs[..]);
        let waited = seen.ended - seen.sent;
        let passed_on = !runs.is_empty();
        let unread = self.plan.stalls.iter().any(|stall| stall.0 <= seen.sent && seen.ended <= stall.1 + 1.0);
        let cut = runs.iter().any(|run| run.cut);
        let why = match seen.status {
            None if passed_on => "no answer, and a server was at work",
            None if waited > LOSS_SLACK_MS && !unread => "no answer",
            Some(_) if !seen.by_server && cut => "an answer of one's own in place of a server's at work",
            _ => return None,
        };
        let last_sixth = TERM_MS + GRACE_MS * 5.0 / 6.0;
        let at_work = runs.iter().any(|run| run.cut && run.ended.is_some_and(|ended| ended >= last_sixth));
        let allowed = at_work && seen.sent <= TERM_MS + EARLY_MS;
        let late = waited >= seen.patience_ms - 50.0;
        (seen.ended >= TERM_MS && !allowed && !late).then_some(why)
    }
}

fn in_virtual_time<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test)
}

#[test]
fn a_request_taken_in_a_shutdown_is_never_given_up_whatever_else_comes_with_it() {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let from = number("SHUTDOWN_FROM").unwrap_or(0);
    let mut all = Vec::new();
    for seed in from..from + number("SHUTDOWNS").unwrap_or(SHUTDOWNS) {
        let played = in_virtual_time(play(seed));
        let since = |at: f64| at - TERM_MS;
        let after = played.seen.iter().filter(|seen| seen.sent >= TERM_MS);
        let served = after.clone().filter(|seen| seen.by_server).count();
        let last =
            after.clone().filter(|seen| seen.by_server).map(|seen| since(seen.sent)).fold(0.0, f64::max);
        let kept = after.clone().filter(|seen| seen.kept).count();
        let lost: Vec<_> =
            played.seen.iter().filter_map(|seen| played.lost(seen).map(|why| (why, seen))).collect();
        println!(
            "seed {seed}: {} requests, {} after SIGTERM, {kept} of these on kept connections, {served} served, the last \
             sent {last:.0} ms after it; ended {:.0} ms after it; {} lost",
            played.seen.len(),
            after.count(),
            since(played.ended),
            lost.len()
        );
        for (why, seen) in &lost {
            println!("  {why}: {seen:?}, {:?}", played.runs.get(&seen.id));
        }
        all.extend(lost.iter().map(|(why, seen)| format!("seed {seed}: {why}: {}", seen.id)));
        assert!(served > 0 && kept > 0, "seed {seed}: nothing was served, or nobody kept a connection");
    }
    assert!(all.is_empty(), "{all:#?}");
}

/// A server that is silent.
async fn silent() -> ServerInfo {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    spawn_local(async move {
        let mut connections = Vec::new();
        while let Ok(connection) = listener.accept().await {
            connections.push(connection);
        }
    });
    let (id, backend, zone, state) = ("s".into(), "b".into(), "n1".into(), ServerState::InService);
    ServerInfo { id, backend, address, zone, slots: 2, state, cold: None }
}

#[test]
fn a_process_that_stood_still_at_sigterm_while_nothing_was_due_ends_before_the_kill() {
    // So that the request's own time ends after the kill.
    const MORE_MS: u32 = 4_000;
    in_virtual_time(async {
        let time = Time::start();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let gateway = listener.local_addr().expect("bound");
        let (orders, received) = mpsc::unbounded_channel();
        let _ = orders.send(Order::Config(MORE_MS, vec![silent().await]));
        // Its housekeeping comes with each whole second, and nobody uses it.
        let stall = Stall(TERM_MS + 20.0, TERM_MS + 980.0);
        spawn_local(async move {
            time.until(stall.0 + 1.0).await;
            let _ = orders.send(Order::Term);
        });
        let client = spawn_local(async move {
            time.until(stall.1 + 500.0).await;
            let mut stream = TcpStream::connect(gateway).await.expect("taken");
            let request = "GET /m/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\n\r\n";
            stream.write_all(request.as_bytes()).await.expect("sent");
            let mut answer = String::new();
            let _ = stream.read_to_string(&mut answer).await;
            answer
        });
        let killed = stall.0 + 1.0 + GRACE_MS;
        let ended = process(time, listener, 1, &[stall], received, killed).await;
        assert!(ended < killed, "ended {ended}, killed {killed}");
        let answer = client.await.expect("no panic");
        assert!(answer.starts_with("HTTP/1.1 50"), "its client is told: {answer:?}");
    });
}
