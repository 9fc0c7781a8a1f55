//! A server's connection that ends at any byte of a request or of its answer, over loopback.

use bytes::{Bytes, BytesMut};
use nickeljunction_core::facade::RetrySafety;
use nickeljunction_core::life::Answer;
use nickeljunction_edge::exchange::{
    BodyPart, Dispatch, Exchange, RequestBody, ResponseBody, ServerResponse,
};
use nickeljunction_edge::proxy::Proxy;
use nickeljunction_edge::proxy_types::{BackendConfig, ProxyTuning};
use nickeljunction_edge::upstream::Location;
use nickeljunction_http::stream::{read_request_head, BodyReader};
use nickeljunction_http::Chunk;
use nickeljunction_messages::{ServerInfo, ServerState};
use nickeljunction_net::budget::Budget;
use nickeljunction_net::clock::Clock;
use nickeljunction_net::wheel::Wheel;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, JoinSet, LocalSet};

/// How a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
    /// It stays, and nothing more comes.
    Silence,
}

/// Where the first connection ends: after so many bytes of the request, or after the whole request and so many of the
/// answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Spot {
    Request(usize),
    Answer(usize),
    /// Amid a long answer.
    Long,
}

#[derive(Debug, Clone, Copy)]
struct Cut {
    at: Spot,
    end: End,
    repeat: RetrySafety,
}

/// What the servers have seen: the ids that they ran, and whether the first connection has been taken.
#[derive(Default)]
struct Seen {
    ran: RefCell<Vec<String>>,
    cut: Cell<bool>,
    /// Longest whole request.
    request: Cell<usize>,
}

/// How much later than its time an answer may come on a busy machine, ms: far less than the bound of any connection.
const LATE_MS: f64 = 2_000.0;
const BODY: &[u8] = b"0123456789";

fn good(id: &str) -> Vec<u8> {
    let body = format!("for {id}");
    let length = body.len();
    format!("HTTP/1.1 200 X\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// The length of the whole request that stands at the start of `from`, and its id.
fn whole(from: &BytesMut) -> Option<(usize, String)> {
    let mut rest = from.clone();
    let head = read_request_head(&mut rest, 16_384).expect("a request")?;
    let mut reader = BodyReader::new(head.framing, 1 << 20).expect("within bounds");
    while !reader.is_complete() {
        if reader.next(&mut rest).expect("a body") == Chunk::Incomplete {
            return None;
        }
    }
    Some((from.len() - rest.len(), head.headers.get("x-attempt-id").expect("an id").to_string()))
}

/// A long answer, of which only a part is sent.
fn long(id: &str) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 200 X\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\nContent-Length: 200000\r\n\r\n"
    );
    [head.as_bytes(), &[b'x'; 100_000]].concat()
}

fn finish(stream: TcpStream, end: End) {
    match end {
        End::Close => drop(stream),
        End::Reset => {
            socket2::SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO)).expect("a socket");
        }
        End::Silence => {
            spawn_local(async move {
                let mut stream = stream;
                let mut scrap = [0; 1024];
                while stream.read(&mut scrap).await.is_ok_and(|read| read > 0) {}
            });
        }
    }
}

async fn serve(mut stream: TcpStream, seen: Rc<Seen>, cut: Cut) {
    let first = !seen.cut.replace(true);
    let mut from = BytesMut::new();
    if let (true, Spot::Request(bytes)) = (first, cut.at) {
        let mut some = vec![0; bytes];
        if bytes > 0 {
            stream.read_exact(&mut some).await.expect("a request");
        }
        if let Some((_, id)) = whole(&BytesMut::from(&some[..])) {
            seen.ran.borrow_mut().push(id);
        }
        return finish(stream, cut.end);
    }
    loop {
        let (length, id) = loop {
            match whole(&from) {
                Some(whole) => break whole,
                None if stream.read_buf(&mut from).await.unwrap_or(0) == 0 => return,
                None => {}
            }
        };
        drop(from.split_to(length));
        seen.request.set(seen.request.get().max(length));
        seen.ran.borrow_mut().push(id.clone());
        let answer = good(&id);
        if let (true, Spot::Answer(bytes)) = (first, cut.at) {
            stream.write_all(&answer[..bytes]).await.expect("somebody waits");
            return finish(stream, cut.end);
        }
        if (first, cut.at) == (true, Spot::Long) {
            stream.write_all(&long(&id)).await.expect("somebody waits");
            return finish(stream, cut.end);
        }
        if stream.write_all(&answer).await.is_err() {
            return;
        }
    }
}

fn exchange(
    wheel: &Wheel,
    id: &str,
    repeat: RetrySafety,
    patience_ms: f64,
) -> (Exchange, oneshot::Receiver<Answer<ServerResponse>>) {
    let mut head = BytesMut::from("POST /a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: x\r\n\r\n");
    let head = read_request_head(&mut head, 4_096).expect("good").expect("whole");
    let (reply, answer) = oneshot::channel();
    let exchange = Exchange {
        method: head.method,
        target: head.target,
        headers: head.headers,
        body: RequestBody::Buffered(Bytes::from_static(BODY)),
        attempt_id: id.to_string(),
        tenant: None,
        unit_valid_until: f64::INFINITY,
        backend: "b".into(),
        home_regions: Rc::new([]),
        retry_safety: repeat,
        target_latency_ms: 4_000.0,
        max_attempts: 2,
        priority: 0,
        arrived: wheel.now(),
        timeout_ms: patience_ms,
        reply,
    };
    (exchange, answer)
}

/// The body of a good answer; `None`: a failure, or a refusal (`Err`).
fn told(answer: Answer<ServerResponse>) -> Result<Option<String>, ()> {
    match answer {
        Answer::Served(ServerResponse { status: 200, body: ResponseBody::Buffered(body), .. }) => {
            Ok(Some(String::from_utf8(body.to_vec()).expect("text")))
        }
        Answer::Served(_) => panic!("an answer that no server gave"),
        Answer::Failed => Ok(None),
        Answer::ShortOnCapacityReply(_) => Err(()),
    }
}

/// A gateway of its own with two servers that play a cut.
struct World {
    proxy: Rc<Proxy>,
    wheel: Wheel,
    seen: Rc<Seen>,
    /// Dropped with it: the listeners, and the gateway's turns.
    _tasks: JoinSet<()>,
}

impl World {
    async fn new(wheel: Wheel, cut: Cut) -> World {
        let here = Location { name: "g1".into(), zone: "n1".into(), region: "n".into() };
        let tuning = ProxyTuning { retry_slack: 1_000, ..ProxyTuning::default() };
        let proxy = Proxy::new(wheel.clone(), Budget::new(200), here, 7, tuning);
        let (seen, mut tasks, mut lines) = (Rc::new(Seen::default()), JoinSet::new(), Vec::new());
        tasks.spawn_local(proxy.clone().run());
        for at in 0..2 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("bound").to_string();
            let (id, backend, zone) = (format!("s{at}"), "b".to_string(), "n1".to_string());
            let state = ServerState::InService;
            lines.push(ServerInfo { id, backend, address, zone, slots: 2, state, cold: None });
            let seen = seen.clone();
            tasks.spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    spawn_local(serve(stream, seen.clone(), cut));
                }
            });
        }
        proxy.set_gateway_count(1);
        let backend = BackendConfig { max_connections: 100, warmup_per_s: 0.0 };
        proxy.update_backends(HashMap::from([("b".to_string(), backend)]));
        proxy.update_servers(&lines, &[], &HashMap::from([("n1".to_string(), "n".to_string())]));
        World { proxy, wheel, seen, _tasks: tasks }
    }

    async fn ask(&self, id: &str, repeat: RetrySafety, patience_ms: f64) -> Answer<ServerResponse> {
        let (exchange, answer) = exchange(&self.wheel, id, repeat, patience_ms);
        self.proxy.dispatch(exchange);
        answer.await.expect("exactly one answer")
    }
}

/// Plays a cut; the length of the request as a server got it.
async fn play(wheel: Wheel, cut: Cut) -> usize {
    let world = World::new(wheel, cut).await;
    let (seen, proxy) = (world.seen.clone(), world.proxy.clone());
    let patience_ms = if cut.end == End::Silence { 500.0 } else { 9_000.0 };
    let began = world.wheel.now();
    let first = told(world.ask("a", cut.repeat, patience_ms).await);
    let held_ms = world.wheel.now() - began;
    assert!(held_ms < patience_ms + LATE_MS, "{cut:?}: held for {held_ms} ms");
    let sent = proxy.counts().first_attempts + proxy.counts().further_attempts;
    let runs = |id: &str| seen.ran.borrow().iter().filter(|ran| *ran == id).count();
    let fine = |id: &str| Ok(Some(format!("for {id}")));
    let whole_answer = cut.at == Spot::Answer(good("a").len());
    match (cut.repeat, cut.end) {
        _ if whole_answer => assert!(first == fine("a") && runs("a") == 1, "{cut:?}: {first:?}"),
        // Refused only if nothing of it went out: on a busy machine its time may be over by then.
        (RetrySafety::AtMostOnce, _) => {
            let told = if sent == 0 { first.is_err() } else { first == Ok(None) };
            assert!(
                told && sent <= 1 && runs("a") <= 1,
                "{cut:?}: {first:?}, {sent} sent, {} runs",
                runs("a")
            );
        }
        // What may run twice may also be refused after it has run.
        (_, End::Silence) => {
            assert!(first.is_err() || first == Ok(None) || first == fine("a"), "{cut:?}: {first:?}");
        }
        _ => assert!(first == fine("a") && runs("a") <= 2, "{cut:?}: {first:?}"),
    }
    // What is asked next gets its own answer, once, whatever is left of the first.
    let next = told(world.ask("b", RetrySafety::AtMostOnce, 9_000.0).await);
    assert!(next == fine("b") && runs("b") == 1, "{cut:?}, then {next:?}");
    seen.request.get()
}

/// Plays cuts, some at a time.
fn all(cuts: &[Cut]) -> usize {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let wheel = Wheel::new(Clock::start());
        spawn_local(wheel.clone().run());
        let mut longest = 0;
        for some in cuts.chunks(120) {
            let mut plays = JoinSet::new();
            some.iter().for_each(|cut| drop(plays.spawn_local(play(wheel.clone(), *cut))));
            while let Some(request) = plays.join_next().await {
                longest = longest.max(request.expect("a play"));
            }
        }
        longest
    })
}

fn cuts(places: impl Iterator<Item = Spot> + Clone, ends: &[End]) -> Vec<Cut> {
    let repeats = [RetrySafety::AtMostOnce, RetrySafety::Idempotent];
    let each = |repeat, end| places.clone().map(move |at| Cut { at, end, repeat });
    repeats.iter().flat_map(|repeat| ends.iter().flat_map(move |end| each(*repeat, *end))).collect()
}

#[test]
fn wherever_a_request_is_cut_it_runs_as_often_as_it_may_and_the_next_gets_its_own_answer() {
    let whole =
        all(&[Cut { at: Spot::Answer(good("a").len()), end: End::Close, repeat: RetrySafety::AtMostOnce }]);
    let places = (0..=whole).map(Spot::Request);
    let mut played = cuts(places.clone(), &[End::Close, End::Reset]);
    played.extend(cuts(places.step_by(7), &[End::Silence]));
    println!("{} cuts of a request of {whole} bytes", played.len());
    assert!(whole > 100);
    all(&played);
}

#[test]
fn wherever_an_answer_is_cut_nobody_gets_a_part_of_it() {
    let whole = good("a").len();
    let places = (0..=whole).map(Spot::Answer);
    let mut played = cuts(places.clone(), &[End::Close, End::Reset]);
    // After the whole answer the server is free to say nothing to the next request.
    played.extend(cuts(places.take(whole), &[End::Silence]));
    println!("{} cuts of an answer of {whole} bytes", played.len());
    all(&played);
}

#[test]
fn a_long_answer_that_stalls_or_breaks_ends_visibly_and_with_its_time() {
    let cuts = cuts([Spot::Long].into_iter(), &[End::Close, End::Reset, End::Silence]);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let wheel = Wheel::new(Clock::start());
        spawn_local(wheel.clone().run());
        for cut in cuts {
            let world = World::new(wheel.clone(), cut).await;
            let (began, patience_ms) = (wheel.now(), 1_000.0);
            let Answer::Served(ServerResponse { body: ResponseBody::Streamed(mut body), .. }) =
                world.ask("a", cut.repeat, patience_ms).await
            else {
                panic!("{cut:?}: a streamed answer")
            };
            let mut ended = false;
            while let Some(part) = body.parts.recv().await {
                ended |= part == BodyPart::End;
            }
            let held_ms = wheel.now() - began;
            assert!(!ended && held_ms < patience_ms + LATE_MS, "{cut:?}: {ended}, held for {held_ms} ms");
            assert!(cut.end != End::Silence || held_ms >= patience_ms - 50.0, "{cut:?}: {held_ms}");
            world.proxy.wait_until_idle().await;
            assert_eq!(
                told(world.ask("b", RetrySafety::AtMostOnce, 9_000.0).await),
                Ok(Some("for b".into())),
                "{cut:?}"
            );
            assert_eq!(world.seen.ran.borrow()[..], ["a", "b"], "{cut:?}");
        }
    });
}
