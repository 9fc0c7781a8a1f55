//! The clients' side: order of answers, bodies, keys, admission, and what ends a connection.

mod frontend_fixture;

use bytes::Bytes;
use frontend_fixture::*;
use nickeljunction_core::facade::RetrySafety;
use nickeljunction_core::life::Answer;
use nickeljunction_edge::exchange::{
    Admission, AdmissionDecision, BodyPart, Exchange, RequestBody, ServerResponse,
};
use nickeljunction_messages::TrialInfo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[test]
fn answers_go_in_the_order_of_their_requests_however_these_finish() {
    run_test(async {
        let fixture = FrontendFixture::new("");
        let mut client = fixture.client();
        let sent: String = ["1", "2", "3"].map(|id| get(&format!("/i/{id}?q"), id)).concat();
        send(&mut client, &sent).await;
        fixture.expect_dispatched(&["1", "2", "3"]).await;
        {
            let exchange = &fixture.proxy.exchanges.borrow()[1];
            assert_eq!(
                (&exchange.method[..], &exchange.target[..], &*exchange.backend),
                ("GET", "/i/2?q", "a")
            );
            assert_eq!((exchange.retry_safety, exchange.tenant.is_none()), (RetrySafety::Idempotent, true));
            assert_eq!(exchange.timeout_ms, 2_000.0);
        }
        for id in ["3", "2", "1"] {
            settle().await;
            fixture.reply_ok(id);
        }
        for id in ["1", "2", "3"] {
            let (head, body) = read_response(&mut client).await;
            assert_eq!(body, format!("body of {id}"));
            assert!(head.starts_with("HTTP/1.1 200 OK\r\n"), "{head}");
            assert!(head.contains(&format!("X-Attempt-Id: {id}\r\nX-Response-Seal: s.{id}\r\n")), "{head}");
            assert!(head.contains("Keep-Alive: timeout=14\r\n"), "{head}");
            assert!(!head.contains("Connection:"), "the server's own connection: {head}");
        }
        assert_eq!((fixture.frontend.counts().served.get(), fixture.lifecycle.busy_connections()), (3, 0));
    });
}

#[test]
fn no_client_has_more_than_a_few_at_work_at_once() {
    run_test(async {
        let fixture = FrontendFixture::new("");
        let mut client = fixture.client();
        let ids: Vec<String> = (0..20).map(|id| id.to_string()).collect();
        send(&mut client, &ids.iter().map(|id| get("/i/", id)).collect::<String>()).await;
        fixture.expect_dispatched(&["0", "1", "2", "3", "4", "5", "6", "7"]).await;
        for id in &ids {
            settle().await;
            fixture.reply_ok(id);
            assert_eq!(read_response(&mut client).await.1, format!("body of {id}"));
        }
        println!(
            "a connection's task: {} bytes",
            std::mem::size_of_val(&fixture.frontend.clone().serve_connection(client))
        );
    });
}

#[test]
fn nothing_is_passed_on_behind_an_answer_that_may_break_the_connection() {
    run_test(async {
        let fixture = FrontendFixture::new("");
        let mut client = fixture.client();
        send(&mut client, &[get("/i/", "1"), get("/d/", "2"), get("/i/", "3")].concat()).await;
        fixture.expect_dispatched(&["1", "2"]).await;
        fixture.reply_ok("1");
        let (parts, served) = streamed_response(Some(9));
        fixture.reply("2", Answer::Served(served));
        parts.send(BodyPart::Data(Bytes::from_static(b"half"))).await.expect("wanted");
        settle().await;
        assert_eq!(fixture.proxy.attempt_ids(), [""; 0], "behind an answer under way");
        drop(parts);
        let text = read_to_end(&mut client).await;
        assert!(text.ends_with("half"), "{text}");
        settle().await;
        assert_eq!(fixture.proxy.attempt_ids(), [""; 0], "taken, and never to be answered");
        // Behind a whole one it goes on.
        let mut client = fixture.client();
        send(&mut client, &[get("/d/", "4"), get("/i/", "5")].concat()).await;
        fixture.expect_dispatched(&["4"]).await;
        fixture.reply_ok("4");
        assert_eq!(read_response(&mut client).await.1, "body of 4");
        fixture.expect_dispatched(&["5"]).await;
    });
}

#[test]
fn what_must_not_run_twice_waits_for_all_before_it() {
    run_test(async {
        let fixture = FrontendFixture::new("");
        let mut client = fixture.client();
        send(&mut client, &[get("/i/", "1"), post("/n/", "2", "abc"), post("/n/", "3", "")].concat()).await;
        fixture.expect_dispatched(&["1"]).await;
        fixture.reply_ok("1");
        fixture.expect_dispatched(&["2"]).await;
        let body = match &fixture.proxy.exchanges.borrow()[0].body {
            RequestBody::Buffered(body) => body.clone(),
            RequestBody::Streamed(_) => panic!("short"),
        };
        assert_eq!(&body[..], b"abc");
        fixture.reply_ok("2");
        fixture.expect_dispatched(&["3"]).await;
        drop(client);
        settle().await;
        assert!(fixture.proxy.remove("3").reply.is_closed(), "its client has gone");
        assert_eq!(
            (fixture.frontend.counts().client_gone.get(), fixture.lifecycle.open_connections()),
            (1, 0)
        );
    });
}

#[test]
fn a_streamed_answer_goes_through_whole_or_ends_as_visibly_broken() {
    run_test(async {
        let fixture = FrontendFixture::new("");
        let part = || BodyPart::Data(Bytes::from_static(b"0123456789"));
        // (length stated, parts, they end, what the client sees behind the head; None: more may follow)
        for (length, parts, ends, seen) in [
            (None, 2, true, "a\r\n0123456789\r\na\r\n0123456789\r\n0\r\n\r\n"),
            (None, 2, false, "a\r\n0123456789\r\na\r\n0123456789\r\n"),
            (Some(20), 2, true, "01234567890123456789"),
            (Some(20), 1, false, "0123456789"),
            (Some(20), 1, true, "0123456789"),
            (Some(10), 2, true, "0123456789"),
        ] {
            let mut client = fixture.client();
            let whole = ends && length.is_none_or(|length| length == parts * 10);
            send(&mut client, &[get("/i/", "1"), get("/i/", "2")].concat()).await;
            fixture.expect_dispatched(&["1", "2"]).await;
            let (to, served) = streamed_response(length);
            fixture.reply("1", Answer::Served(served));
            fixture.reply_ok("2");
            for _ in 0..parts {
                to.send(part()).await.unwrap_or(());
            }
            if ends {
                to.send(BodyPart::End).await.unwrap_or(());
            }
            drop(to);
            settle().await;
            let mut text = vec![0; 4096];
            let count = client.read(&mut text).await.expect("there");
            let text = String::from_utf8_lossy(&text[..count]).to_string();
            let body = text.split_once("\r\n\r\n").expect("a head").1;
            assert!(body.starts_with(seen), "{length:?} {parts} {ends}: {text}");
            assert_eq!(body.contains("body of 2"), whole, "{length:?} {parts} {ends}: {text}");
            if !whole {
                assert_eq!(
                    (body, &read_to_end(&mut client).await[..]),
                    (seen, ""),
                    "{length:?} {parts} {ends}"
                );
            }
        }
    });
}

#[test]
fn requests_that_are_not_in_order_are_answered_here_and_go_no_further() {
    run_test(async {
        let fixture = FrontendFixture::new(r#""max_header_bytes":300,"max_body_bytes":1000"#);
        let key = |line: &str| format!("GET /k/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\n{line}\r\n");
        let both = "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n";
        let hidden = format!(
            "POST /i/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\n{both}\r\n0\r\n\r\n{}",
            get("/i/", "hidden")
        );
        // (text, status, the connection stays)
        for (text, status, stays) in [
            (get("/none/", "1"), 404, true),
            (post("/none/", "1", "a body to be read over"), 404, true),
            (get("/k/", "1"), 401, true),
            (key("Authorization: Bearer bad\r\n"), 401, true),
            (key("Authorization: Basic good\r\n"), 401, true),
            (key("Authorization: Bearer good\r\nAuthorization: Bearer good\r\n"), 401, true),
            // Homes of its route and its tenant have nothing in common.
            (key("Authorization: Bearer away\r\n"), 503, true),
            (key("X-Deadline-Remaining: soon\r\n"), 400, true),
            (key("X-Deadline-Remaining: 0\r\nAuthorization: Bearer good\r\n"), 503, true),
            ("GET /i/ HTTP/1.1\r\nHost: h\r\n\r\n".to_string(), 400, true),
            (key(&format!("X: {}\r\n", "x".repeat(400))), 431, false),
            (post("/i/", "1", &"x".repeat(1001)), 413, false),
            ("GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n".to_string(), 400, false),
            ("GET / HTTP/1.1\nHost: h\n\n".to_string(), 400, false),
            (hidden, 400, false),
        ] {
            let mut client = fixture.client();
            send(&mut client, &text).await;
            let (head, body) = read_response(&mut client).await;
            assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{text}: {head}");
            assert_eq!(head.contains("Connection: close"), !stays, "{text}: {head}");
            assert_eq!(head.contains("Retry-After: "), status == 503, "{text}: {head}");
            assert!(body.starts_with("{\"error\":\"") && !head.contains("Seal"), "{body}");
            if stays {
                send(&mut client, &get("/i/", "next")).await;
                fixture.expect_dispatched(&["next"]).await;
                fixture.reply_ok("next");
                assert_eq!(read_response(&mut client).await.1, "body of next");
            } else {
                assert_eq!(read_to_end(&mut client).await, "");
            }
            assert!(fixture.proxy.attempt_ids().is_empty(), "{text}: {:?}", fixture.proxy.attempt_ids());
        }
        // Chunks tell their length only at the end.
        let mut client = fixture.client();
        let chunks =
            "2bc\r\n".to_string() + &"x".repeat(700) + "\r\n2bc\r\n" + &"x".repeat(700) + "\r\n0\r\n\r\n";
        let head = "POST /n/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
        send(&mut client, &(head.to_string() + &chunks)).await;
        assert!(read_response(&mut client).await.0.starts_with("HTTP/1.1 413 "));
        assert!(fixture.proxy.attempt_ids().is_empty());
    });
}

#[test]
fn keys_name_the_tenant_and_admission_is_heeded() {
    run_test(async {
        let fixture = FrontendFixture::new("");
        let mut client = fixture.client();
        let ask = "GET /k/ HTTP/1.1\r\nhost: H:80\r\nX-Attempt-Id: 1\r\nX-Deadline-Remaining: 700.5\r\n\
            authorization: bearer good\r\n\r\n";
        send(&mut client, ask).await;
        fixture.expect_dispatched(&["1"]).await;
        {
            let exchange = &fixture.proxy.exchanges.borrow()[0];
            assert_eq!(
                (exchange.tenant.as_deref(), &exchange.home_regions[..]),
                (Some("t"), &["r".to_string()][..])
            );
            assert_eq!((exchange.timeout_ms, exchange.retry_safety), (700.5, RetrySafety::AtMostOnce));
        }
        fixture.reply_ok("1");
        read_response(&mut client).await;
        for (says, stale, wanted) in [
            (AdmissionDecision::OverQuota(1234.0), None, ("429", "Retry-After: 1.234\r\n")),
            (AdmissionDecision::QuotaUnknown(0.0), None, ("503", "Retry-After: 0.100\r\n")),
            // A unit that can't be used any more.
            (AdmissionDecision::Admitted(1.0), None, ("503", "Retry-After: ")),
            (AdmissionDecision::Admitted(f64::INFINITY), Some(300.0), ("503", "Retry-After: 0.300\r\n")),
        ] {
            fixture.admission.decision.set(says);
            fixture.admission.stale_retry_after_ms.set(stale);
            send(&mut client, ask).await;
            let head = read_response(&mut client).await.0;
            assert!(
                head.starts_with(&format!("HTTP/1.1 {} ", wanted.0)) && head.contains(wanted.1),
                "{head}"
            );
            assert!(head.contains("X-Attempt-Id: 1\r\n") && fixture.proxy.attempt_ids().is_empty(), "{head}");
        }
        let told = fixture.frontend.over_quota().take_log_line();
        assert_eq!(told.as_deref(), Some("event=over_quota refused=1 tenants=1 most=\"t\" its=1"));
        assert_eq!(fixture.frontend.over_quota().take_log_line(), None, "told once");
        assert!(fixture.admission.admit_calls.borrow().iter().all(|tenant| tenant == "t"));
        // Stale keys don't keep what needs none from being served.
        send(&mut client, &get("/i/", "2")).await;
        fixture.expect_dispatched(&["2"]).await;
    });
}

#[test]
fn each_end_of_the_servers_side_has_its_status() {
    run_test(async {
        let fixture = FrontendFixture::new("");
        let mut client = fixture.client();
        for (answer, wanted, pause) in [
            (Some(Answer::ShortOnCapacityReply(20.0)), "503", Some("Retry-After: 0.050\r\n")),
            (Some(Answer::ShortOnCapacityReply(0.0)), "503", Some("Retry-After: 0.100\r\n")),
            (Some(Answer::Failed), "502", None),
            (None, "502", None),
        ] {
            send(&mut client, &post("/n/", "1", "")).await;
            fixture.expect_dispatched(&["1"]).await;
            match answer {
                Some(answer) => fixture.reply("1", answer),
                None => drop(fixture.proxy.remove("1")),
            }
            let head = read_response(&mut client).await.0;
            assert!(head.starts_with(&format!("HTTP/1.1 {wanted} ")), "{head}");
            assert_eq!(head.contains("Retry-After"), pause.is_some(), "{head}");
            assert!(pause.is_none_or(|pause| head.contains(pause)), "{head}");
        }
        let brief = "GET /i/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nX-Deadline-Remaining: 5\r\n\r\n";
        send(&mut client, brief).await;
        fixture.expect_dispatched(&["1"]).await;
        let arrived = fixture.proxy.exchanges.borrow()[0].arrived;
        while fixture.wheel.now() < arrived + 5.0 {
            tokio::task::yield_now().await;
        }
        fixture.reply("1", Answer::Failed);
        assert!(read_response(&mut client).await.0.starts_with("HTTP/1.1 504 "));
        // A HEAD has the length of the body it would have had, and none.
        send(&mut client, &get("/i/", "2").replace("GET", "HEAD")).await;
        fixture.expect_dispatched(&["2"]).await;
        let served = ServerResponse { headers: parse_headers(""), ..buffered_response(200, "2") };
        fixture.reply("2", Answer::Served(served));
        send(&mut client, "GET /i/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 3\r\nConnection: close\r\n\r\n")
            .await;
        fixture.expect_dispatched(&["3"]).await;
        fixture.reply_ok("3");
        let text = read_to_end(&mut client).await;
        assert_eq!(text.matches("HTTP/1.1 200").count(), 2, "{text}");
        assert!(text.contains("\r\n\r\nHTTP/1.1 200") && text.ends_with("body of 3"), "{text}");
    });
}

async fn collect(exchange: &Exchange) -> (Vec<u8>, bool) {
    let RequestBody::Streamed(stream) = &exchange.body else { panic!("not streamed") };
    let mut stream = stream.borrow_mut().take().expect("first to take it");
    let mut all = Vec::new();
    while let Some(part) = stream.parts.recv().await {
        match part {
            BodyPart::Data(bytes) => {
                assert!(bytes.len() <= 16 * 1024);
                all.extend_from_slice(&bytes);
            }
            BodyPart::End => return (all, true),
        }
    }
    (all, false)
}

#[test]
fn long_bodies_are_passed_on_as_they_come_and_the_connection_stays() {
    run_test(async {
        let fixture = FrontendFixture::new("");
        let body: Vec<u8> = (0..200_000u32).map(|at| (at % 251) as u8).collect();
        for chunked in [true, false] {
            let client = fixture.client();
            let (mut reads, mut writes) = tokio::io::split(client);
            let framing = match chunked {
                true => "Transfer-Encoding: chunked".to_string(),
                false => format!("Content-Length: {}", body.len()),
            };
            let head = format!("POST /n/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nExpect: 100-continue\r\n{framing}\r\n\r\n");
            writes.write_all(head.as_bytes()).await.expect("sent");
            let mut early = [0; 25];
            reads.read_exact(&mut early).await.expect("told to go on");
            assert_eq!(&early, b"HTTP/1.1 100 Continue\r\n\r\n");
            let whole = body.clone();
            let writing = tokio::task::spawn_local(async move {
                for part in whole.chunks(30_011) {
                    if chunked {
                        writes.write_all(format!("{:x}\r\n", part.len()).as_bytes()).await.expect("sent");
                    }
                    writes.write_all(part).await.expect("sent");
                    if chunked {
                        writes.write_all(b"\r\n").await.expect("sent");
                    }
                }
                let end = if chunked { "0\r\n\r\n" } else { "" };
                writes.write_all((end.to_string() + &get("/i/", "2")).as_bytes()).await.expect("sent");
                writes
            });
            fixture.expect_dispatched(&["1"]).await;
            let exchange = fixture.proxy.remove("1");
            let (seen, complete) = collect(&exchange).await;
            assert!(complete && seen == body, "chunked {chunked}: {} bytes, complete {complete}", seen.len());
            assert!(exchange.reply.send(Answer::Served(buffered_response(200, "1"))).is_ok());
            let writes = writing.await.expect("written");
            fixture.expect_dispatched(&["2"]).await;
            fixture.reply_ok("2");
            settle().await;
            let mut client = reads.unsplit(writes);
            assert_eq!(read_response(&mut client).await.1, "body of 1");
            assert_eq!(read_response(&mut client).await.1, "body of 2");
        }
        // A client that goes in the middle: the servers' side sees the break, never an end.
        let mut client = fixture.client();
        send(
            &mut client,
            "POST /n/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 3\r\nContent-Length: 100000\r\n\r\nxyz",
        )
        .await;
        fixture.expect_dispatched(&["3"]).await;
        drop(client);
        let exchange = fixture.proxy.remove("3");
        assert_eq!(collect(&exchange).await, (b"xyz".to_vec(), false));
        assert!(exchange.reply.is_closed());
    });
}

#[test]
fn half_a_head_is_told_so_in_time_and_an_idle_connection_ends_quietly() {
    run_test(async {
        let fixture = FrontendFixture::new(r#""header_timeout_s":0.01,"idle_timeout_s":0.02"#);
        let mut client = fixture.client();
        send(&mut client, "GET /i/ HTTP/1.1\r\nHost").await;
        assert!(read_to_end(&mut client).await.starts_with("HTTP/1.1 408 "));
        let mut client = fixture.client();
        send(&mut client, "POST /n/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nContent-Length: 5\r\n\r\nab")
            .await;
        assert!(read_to_end(&mut client).await.starts_with("HTTP/1.1 408 "));
        assert!(fixture.proxy.attempt_ids().is_empty());
        let mut client = fixture.client();
        assert_eq!(read_to_end(&mut client).await, "");
        // One that doesn't read its answer is let go of.
        let (mut client, io) = tokio::io::duplex(64);
        tokio::task::spawn_local(fixture.frontend.clone().serve_connection(io));
        send(&mut client, &get("/i/", "2")).await;
        fixture.expect_dispatched(&["2"]).await;
        fixture.reply_ok("2");
        fixture.lifecycle.all_closed().await;
        assert_eq!(fixture.frontend.counts().broken.get(), 1);
    });
}

#[test]
fn requests_are_the_same_however_they_are_cut() {
    let mut rng = fastrand::Rng::with_seed(41);
    for round in 0..60 {
        run_test(async {
            let fixture = FrontendFixture::new("");
            let mut client = fixture.client();
            let chunks =
                "POST /i/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 3\r\nTransfer-Encoding: chunked\r\n\r\n\
                2;x\r\nab\r\n1\r\nc\r\n0\r\nT: t\r\n\r\n";
            let sent =
                [&get("/i/", "1"), &post("/i/", "2", "abc"), chunks, &post("/n/", "4", "abc")].concat();
            let mut left = &sent[..];
            while !left.is_empty() {
                let (now, then) = left.split_at(rng.usize(1..=left.len().min(80)));
                send(&mut client, now).await;
                for _ in 0..rng.usize(0..3) {
                    tokio::task::yield_now().await;
                }
                left = then;
            }
            for id in ["1", "2", "3", "4"] {
                settle().await;
                if let RequestBody::Buffered(body) = &fixture.proxy.exchanges.borrow()[0].body {
                    assert_eq!(
                        &body[..],
                        if id == "1" { &b""[..] } else { b"abc" },
                        "seed 41, round {round}"
                    );
                }
                fixture.reply_ok(id);
                assert_eq!(
                    read_response(&mut client).await.1,
                    format!("body of {id}"),
                    "seed 41, round {round}"
                );
            }
        });
    }
}

/// With a key.
#[test]
fn a_lapsed_tenants_requests_wait_in_a_bounded_queue_and_its_bookings_do_not() {
    run_test(async {
        let fixture = FrontendFixture::new("");
        assert!(fixture.admission.pacing().is_none(), "nobody is slowed");
        let line = TrialInfo { tenant: "t".into(), step: 1, stage: 1, in_ms: 0 };
        fixture.admission.pacing.update_trials(&[line], Some(fixture.document.config()));
        // They may be held for half of a minute, and nobody waits that long here.
        let mut clients = Vec::new();
        for id in 0..64 {
            let mut client = fixture.client();
            send(&mut client, &authorized_request("GET", "/w/", &format!("w{id}"))).await;
            clients.push(client);
        }
        settle().await;
        assert_eq!(fixture.admission.pacing.tenant_statuses()[0].waiting, 64);
        let mut told = fixture.client();
        send(&mut told, &authorized_request("GET", "/w/", "told")).await;
        let (head, body) = read_response(&mut told).await;
        assert!(head.starts_with("HTTP/1.1 429 ") && head.contains("Retry-After: "), "{head}");
        assert!(body.contains("trial"), "{body}");
        assert!(fixture.admission.admit_calls.borrow().is_empty(), "no unit was spent on any of them");
        // A booking goes at once, and so does whoever needs no key.
        let mut booking = fixture.client();
        send(&mut booking, &authorized_request("POST", "/k/", "booking")).await;
        let mut open = fixture.client();
        send(&mut open, &get("/i/", "open")).await;
        fixture.expect_dispatched(&["booking", "open"]).await;
        // Who leaves makes room.
        clients.truncate(60);
        settle().await;
        assert_eq!(fixture.admission.pacing.tenant_statuses()[0].waiting, 60);
        let mut late = fixture.client();
        send(&mut late, &authorized_request("GET", "/w/", "late")).await;
        settle().await;
        assert_eq!(
            (fixture.admission.pacing.tenant_statuses()[0].waiting, fixture.proxy.attempt_ids().len()),
            (61, 2)
        );
        assert_eq!(fixture.frontend.counts().over_quota.get(), 1);
    });
}

#[test]
fn bookings_at_every_stage_are_sent_once_and_answered_once_whatever_servers_do() {
    run_test(async {
        let fixture = FrontendFixture::new("");
        for stage in 1..=4_u32 {
            let line = TrialInfo { tenant: "t".into(), step: u64::from(stage), stage, in_ms: 0 };
            fixture.admission.pacing.update_trials(&[line], Some(fixture.document.config()));
            // The last: the servers' side lets go of it, and it may have run.
            for (at, status) in ["200", "502", "503", "502"].into_iter().enumerate() {
                let id = format!("{stage}-{at}");
                let mut client = fixture.client();
                send(&mut client, &authorized_request("POST", "/k/", &id)).await;
                fixture.expect_dispatched(&[&id]).await;
                match at {
                    0 => fixture.reply_ok(&id),
                    1 => fixture.reply(&id, Answer::Failed),
                    2 => fixture.reply(&id, Answer::ShortOnCapacityReply(90.0)),
                    _ => drop(fixture.proxy.remove(&id)),
                }
                let (head, _) = read_response(&mut client).await;
                assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{id}: {head}");
                assert_eq!(head.contains("Retry-After"), status == "503", "{id}: {head}");
                fixture.expect_dispatched(&[]).await;
            }
        }
        assert_eq!(fixture.admission.admit_calls.borrow().len(), 16, "a unit each");
    });
}
