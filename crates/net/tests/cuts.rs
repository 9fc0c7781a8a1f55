//! An answer on a kept connection goes to the call that asked or to nobody: every short story of the calls of one
//! connection, walked without sockets, and every place at which a real connection may end.

use bytes::BytesMut;
use nickeljunction_http::RegionCodec;
use nickeljunction_net::call_state::{number, Calls};
use nickeljunction_net::caller::Caller;
use nickeljunction_net::clock::Clock;
use nickeljunction_net::desk::{Answering, Call, Desk, Limits, Resource, Response};
use nickeljunction_net::wheel::Wheel;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinSet, LocalSet};
use tokio_util::codec::Decoder;

/// What may come from a peer while a call waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Item {
    Own,
    OwnAndClose,
    /// An answer to the latest, or the first, of the earlier calls, or to one that was never made.
    Latest,
    First,
    Never,
    /// It names no call.
    Unnamed,
    /// A failure that ends the connection, of what the peer could not read.
    Refusal,
    Interim,
    Noise,
    /// The beginning of an answer; nothing follows it.
    Half,
}

use Item::*;
const ITEMS: [Item; 10] = [Own, OwnAndClose, Latest, First, Never, Unnamed, Refusal, Interim, Noise, Half];

fn answer(named: Option<u64>, status: u16, lines: &str, body: &str) -> Vec<u8> {
    let named = named.map_or(String::new(), |number| format!("Call-Id: {number}\r\n"));
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\n{named}{lines}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

fn bytes(item: Item, call: u64) -> Vec<u8> {
    let own = |number: u64| answer(Some(number), 200, "", &format!("for {number}"));
    match item {
        Own => own(call),
        OwnAndClose => answer(Some(call), 200, "Connection: close\r\n", &format!("for {call}")),
        Latest => own(call - 1),
        First => own(1),
        Never => own(call + 1),
        Unnamed => answer(None, 200, "", "for nobody"),
        Refusal => answer(None, 413, "Connection: close\r\n", "too long"),
        Interim => b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(),
        Noise => b"\x16\x03\x01noise\r\n\r\n".to_vec(),
        Half => own(call)[..30].to_vec(),
    }
}

/// Plays one call as a caller does: the answer that it is given, and whether the connection is kept.
fn play(calls: &mut Calls, sent_whole: bool, pieces: &[Vec<u8>]) -> (Option<(u16, String)>, bool) {
    calls.begin();
    let (mut codec, mut from) = (RegionCodec::new(4096), BytesMut::new());
    for piece in pieces {
        from.extend_from_slice(piece);
        let reply = match codec.decode(&mut from) {
            Ok(Some(reply)) => reply,
            Ok(None) => continue,
            Err(_) => return (None, false),
        };
        let refusal = reply.status >= 400 && !reply.keep_alive;
        if !calls.belongs(reply.headers.get("call-id"), refusal) {
            return (None, false);
        }
        let kept = calls.reusable(reply.keep_alive, sent_whole, from.is_empty());
        return (Some((reply.status, String::from_utf8(reply.body.to_vec()).expect("text"))), kept);
    }
    (None, false)
}

fn stories(most: usize, call: u64) -> Vec<Vec<Item>> {
    let (mut all, mut last) = (vec![vec![]], vec![vec![]]);
    for _ in 0..most {
        let longer = |story: &Vec<Item>| {
            // A peer that names its answers names all of them; what it could not read is another matter.
            let there = ITEMS.iter().filter(|item| call > 1 || !matches!(item, Latest | First | Unnamed));
            there.map(|item| [&story[..], &[*item]].concat()).collect::<Vec<_>>()
        };
        last =
            last.iter().filter(|story: &&Vec<Item>| story.last() != Some(&Half)).flat_map(longer).collect();
        all.extend(last.iter().cloned());
    }
    all
}

#[test]
fn every_short_story_of_the_calls_of_a_connection_keeps_to_the_rule() {
    let (mut open, mut seen) = (vec![(Calls::default(), 1)], HashSet::new());
    let (mut played, mut delivered, mut states) = (0, 0, 0);
    while let Some((calls, call)) = open.pop() {
        states += 1;
        for items in stories(3, call) {
            let apart: Vec<Vec<u8>> = items.iter().map(|item| bytes(*item, call)).collect();
            let together = [apart.concat()];
            let singly: Vec<Vec<u8>> = together[0].iter().map(|byte| vec![*byte]).collect();
            for (pieces, sent_whole) in
                [(&apart[..], true), (&together[..], true), (&singly[..], true), (&apart[..], false)]
            {
                let mut calls = calls;
                let (told, kept) = play(&mut calls, sent_whole, pieces);
                played += 1;
                let story =
                    || format!("call {call}, {items:?}, sent whole: {sent_whole}: {told:?}, kept: {kept}");
                let first = items.iter().find(|item| **item != Interim);
                match &told {
                    Some((200, body)) => {
                        assert!(*body == format!("for {call}"), "another call's answer: {}", story());
                        assert!(matches!(first, Some(Own | OwnAndClose)), "{}", story());
                        delivered += 1;
                    }
                    Some((status, _)) => {
                        assert!(*status == 413 && first == Some(&Refusal) && !kept, "{}", story())
                    }
                    None => assert!(!matches!(first, Some(Own | OwnAndClose)), "not given: {}", story()),
                }
                assert!(!kept || (sent_whole && first == Some(&Own)), "kept: {}", story());
                if kept && pieces.len() == 1 {
                    assert!(items.last() == Some(&Own), "kept with bytes left: {}", story());
                }
                if kept && call < 4 && seen.insert(call) {
                    open.push((calls, call + 1));
                }
            }
        }
    }
    println!("{played} calls on {states} states, {delivered} answered");
    assert!(states == 4 && played > 10_000, "{played} on {states}");
}

#[test]
fn a_peer_that_names_no_call_is_believed_as_long_as_it_names_none() {
    let mut calls = Calls::default();
    for _ in 0..3 {
        calls.begin();
        assert!(calls.belongs(None, false), "of an older version");
    }
    calls.begin();
    assert!(calls.belongs(Some("4"), false) && !calls.belongs(None, false) && calls.belongs(None, true));
    assert!(
        !calls.belongs(Some("3"), false)
            && !calls.belongs(Some("3"), true)
            && !calls.belongs(Some("x"), false)
    );
    assert_eq!((number(Some("12")), number(Some("1\u{663}")), number(Some(""))), (Some("12"), None, None));
    assert_eq!(number(Some("123456789012345678901")), None);
}

/// How a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
    /// Nothing more comes in time; the rest comes late.
    Late,
}

/// The call after the first one on a kept connection meets this: so many bytes of it are read, or all of it and so many
/// of its answer are sent.
#[derive(Debug, Clone, Copy)]
struct Cut {
    request: usize,
    answer: usize,
    end: End,
}

struct Peer {
    cut: Cut,
    /// Paths of the calls that were whole.
    ran: RefCell<Vec<String>>,
    /// Longest request.
    longest: Cell<usize>,
    late: Notify,
}

impl Peer {
    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut from = Vec::new();
        loop {
            let second = self.ran.borrow().len() == 1;
            let whole = loop {
                let text = String::from_utf8_lossy(&from).to_string();
                let head = text.find("\r\n\r\n").map(|at| at + 4);
                let length =
                    text.find("Content-Length: ").and_then(|at| text[at + 16..].lines().next()?.parse().ok());
                let whole = head.zip(length).map(|(head, length): (usize, usize)| head + length);
                if second && from.len() >= self.cut.request {
                    break self.cut.request.min(whole.unwrap_or(usize::MAX));
                }
                match whole {
                    Some(whole) if from.len() >= whole => break whole,
                    _ => {}
                }
                // Byte by byte where it is to be cut, so that not a byte more is read.
                let mut some = [0; 512];
                let most = if second { 1 } else { some.len() };
                match stream.read(&mut some[..most]).await {
                    Ok(0) | Err(_) => return,
                    Ok(read) => from.extend_from_slice(&some[..read]),
                }
            };
            let text = String::from_utf8_lossy(&from).to_string();
            let length = text.find("\r\n\r\n").map_or(usize::MAX, |at| at + 4 + 2);
            let is_whole = from.len() >= length;
            self.longest.set(self.longest.get().max(whole));
            if is_whole {
                let path = text.split(' ').nth(1).expect("a path").to_string();
                self.ran.borrow_mut().push(path);
            }
            let named = text.split("Call-Id: ").nth(1).and_then(|rest| rest.lines().next()?.parse().ok());
            let path = text.split(' ').nth(1).unwrap_or_default();
            let answer = answer(named, 200, "", &format!("for {path}"));
            if !second {
                stream.write_all(&answer).await.expect("somebody waits");
                from.drain(..whole);
                continue;
            }
            let (now, rest) = answer.split_at(if is_whole { self.cut.answer.min(answer.len()) } else { 0 });
            stream.write_all(now).await.expect("somebody waits");
            match self.cut.end {
                End::Close => return,
                End::Reset => {
                    let socket = socket2::SockRef::from(&stream);
                    return socket.set_linger(Some(Duration::ZERO)).expect("a socket");
                }
                End::Late => {
                    self.late.notified().await;
                    let _ = stream.write_all(rest).await;
                    return;
                }
            }
        }
    }
}

fn run<F: Future<Output = ()>>(test: impl FnOnce(Wheel) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let wheel = Wheel::new(Clock::start());
        spawn_local(wheel.clone().run());
        test(wheel).await;
    });
}

async fn call(caller: &Caller, at: SocketAddr, path: &str, ms: f64) -> Result<String, bool> {
    let reply = caller.call(at, "POST", path, &[], b"{}", ms).await;
    let reply = reply.map_err(|error| error.may_have_run())?;
    Ok(String::from_utf8(reply.body.to_vec()).expect("text"))
}

/// Plays a cut; the length of a call in bytes.
async fn cut(wheel: Wheel, cut: Cut) -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    let (ran, longest) = (RefCell::default(), Cell::new(0));
    let peer = Rc::new(Peer { cut, ran, longest, late: Notify::new() });
    let serving = peer.clone();
    let mut accepting = JoinSet::new();
    accepting.spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serving.clone().serve(stream));
        }
    });
    let caller = Caller::new(wheel);
    assert_eq!(call(&caller, at, "/1", 5_000.0).await, Ok("for /1".to_string()), "{cut:?}");
    let patience_ms = if cut.end == End::Late { 60.0 } else { 5_000.0 };
    let second = call(&caller, at, "/2", patience_ms).await;
    let ran = |path: &str| peer.ran.borrow().iter().filter(|one| *one == path).count();
    match &second {
        Ok(body) => assert!(body == "for /2" && ran("/2") == 1, "{cut:?}: {body}"),
        Err(may_have_run) => assert!(*may_have_run || ran("/2") == 0, "{cut:?}: it has run"),
    }
    // The rest comes now, if at all; what is called next gets its own answer.
    peer.late.notify_one();
    if ran("/2") == 0 {
        // The cut is over.
        peer.ran.borrow_mut().push("none".into());
    }
    let third = call(&caller, at, "/3", 5_000.0).await;
    assert_eq!(third, Ok("for /3".to_string()), "{cut:?}, after {second:?}");
    assert!(ran("/2") <= 1 && ran("/3") == 1, "{cut:?}: called twice");
    peer.longest.get()
}

async fn all(wheel: &Wheel, cuts: &[Cut]) -> usize {
    let mut longest = 0;
    for some in cuts.chunks(100) {
        let mut plays = JoinSet::new();
        some.iter().for_each(|one| drop(plays.spawn_local(cut(wheel.clone(), *one))));
        while let Some(length) = plays.join_next().await {
            longest = longest.max(length.expect("a play"));
        }
    }
    longest
}

#[test]
fn wherever_a_call_or_its_answer_is_cut_the_next_call_gets_its_own_answer() {
    run(|wheel| async move {
        let whole = all(&wheel, &[Cut { request: 9_999, answer: 0, end: End::Close }]).await;
        let answer = answer(Some(2), 200, "", "for /2").len();
        let ends = [End::Close, End::Reset, End::Late];
        let requests =
            ends.iter().flat_map(|end| (0..whole).map(|request| Cut { request, answer: 0, end: *end }));
        let answers =
            ends.iter().flat_map(|end| (0..=answer).map(|answer| Cut { request: whole, answer, end: *end }));
        // After a whole answer the peer may be silent for as long as it likes.
        let answers = answers.filter(|cut| cut.answer < answer || cut.end != End::Late);
        let cuts: Vec<Cut> = requests.chain(answers).collect();
        println!("{} cuts of a call of {whole} bytes and an answer of {answer}", cuts.len());
        assert!(whole > 80 && answer > 50);
        all(&wheel, &cuts).await;
    });
}

#[test]
fn an_answer_that_comes_twice_is_not_taken_for_the_next_ones() {
    run(|wheel| async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let at = listener.local_addr().expect("an address");
        spawn_local(async move {
            for _ in 0..2 {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                spawn_local(async move {
                    let mut numbers = 1..;
                    let mut some = [0; 512];
                    // Each call is a single read. From the second one on the one before is answered once more.
                    while stream.read(&mut some).await.is_ok_and(|read| read > 0) {
                        let number = numbers.next().expect("endless");
                        let own = |number: u64| answer(Some(number), 200, "", &format!("for {number}"));
                        let again = if number > 1 { own(number - 1) } else { Vec::new() };
                        stream.write_all(&[again, own(number)].concat()).await.expect("somebody waits");
                    }
                });
            }
        });
        let caller = Caller::new(wheel);
        assert_eq!(call(&caller, at, "/a", 5_000.0).await, Ok("for 1".to_string()));
        assert_eq!(
            call(&caller, at, "/b", 5_000.0).await,
            Err(true),
            "it may have run, and its answer is not known"
        );
        assert_eq!(call(&caller, at, "/c", 5_000.0).await, Ok("for 1".to_string()), "on a new connection");
    });
}

/// Counts the calls that it gets.
#[derive(Default)]
struct Counting(Cell<usize>);

impl Resource for Counting {
    fn handle<'a>(&'a self, call: Call) -> Answering<'a> {
        self.0.set(self.0.get() + 1);
        Box::pin(async move { Response::text(200, call.target) })
    }
}

#[test]
fn a_client_that_goes_at_any_byte_of_two_calls_has_made_those_that_were_whole() {
    run(|wheel| async move {
        let counting = Rc::new(Counting::default());
        let limits = Limits { idle_ms: 5_000.0, ..Limits::default() };
        let desk = Rc::new(Desk::new(wheel.clone(), limits).route("/", counting.clone()));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let at = listener.local_addr().expect("an address");
        spawn_local(desk.serve(listener));
        let one = |path: &str| format!("PUT {path} HTTP/1.1\r\nCall-Id: 7\r\nContent-Length: 2\r\n\r\n{{}}");
        let (first, both) = (one("/1"), one("/1") + &one("/2"));
        for bytes in 0..=both.len() {
            counting.0.set(0);
            let mut client = TcpStream::connect(at).await.expect("a connection");
            client.write_all(&both.as_bytes()[..bytes]).await.expect("sent");
            client.shutdown().await.expect("open");
            let mut seen = String::new();
            client.read_to_string(&mut seen).await.expect("an end");
            let whole = usize::from(bytes >= first.len()) + usize::from(bytes == both.len());
            assert_eq!(counting.0.get(), whole, "{bytes}: {seen}");
            assert_eq!(
                seen.matches("Call-Id: 7\r\n").count(),
                seen.matches("HTTP/1.1 200").count(),
                "{seen}"
            );
            assert_eq!(seen.matches("HTTP/1.1 ").count(), whole, "{seen}");
        }
        println!("{} places", both.len() + 1);
    });
}
