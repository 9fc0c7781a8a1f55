//! The frontend's client connections: order of responses, request and response bodies, API keys, admission, pacing,
//! error statuses, time-outs, and which errors close the connection.

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
fn responses_are_sent_in_request_order_whatever_order_the_requests_finish_in() {
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
            assert!(!head.contains("Connection:"), "the server's Connection header was forwarded: {head}");
        }
        assert_eq!((fixture.frontend.counts().served.get(), fixture.lifecycle.busy_connections()), (3, 0));
    });
}

#[test]
fn a_connection_has_at_most_eight_requests_dispatched_at_once() {
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
            "size of a connection's future: {} bytes",
            std::mem::size_of_val(&fixture.frontend.clone().serve_connection(client))
        );
    });
}

#[test]
fn no_request_is_dispatched_behind_a_response_that_may_break_the_connection() {
    run_test(async {
        let fixture = FrontendFixture::new("");
        let mut client = fixture.client();
        send(&mut client, &[get("/i/", "1"), get("/d/", "2"), get("/i/", "3")].concat()).await;
        fixture.expect_dispatched(&["1", "2"]).await;
        fixture.reply_ok("1");
        let (parts, served) = streamed_response(Some(9));
        fixture.reply("2", Answer::Served(served));
        parts.send(BodyPart::Data(Bytes::from_static(b"half"))).await.expect("the frontend reads the body");
        settle().await;
        assert_eq!(fixture.proxy.attempt_ids(), [""; 0], "dispatched behind an unfinished response");
        drop(parts);
        let text = read_to_end(&mut client).await;
        assert!(text.ends_with("half"), "{text}");
        settle().await;
        assert_eq!(fixture.proxy.attempt_ids(), [""; 0], "dispatched on a broken connection");
        // The next request is dispatched after a complete response.
        let mut client = fixture.client();
        send(&mut client, &[get("/d/", "4"), get("/i/", "5")].concat()).await;
        fixture.expect_dispatched(&["4"]).await;
        fixture.reply_ok("4");
        assert_eq!(read_response(&mut client).await.1, "body of 4");
        fixture.expect_dispatched(&["5"]).await;
    });
}

#[test]
fn a_non_idempotent_request_is_dispatched_only_after_all_earlier_responses() {
    run_test(async {
        let fixture = FrontendFixture::new("");
        let mut client = fixture.client();
        send(&mut client, &[get("/i/", "1"), post("/n/", "2", "abc"), post("/n/", "3", "")].concat()).await;
        fixture.expect_dispatched(&["1"]).await;
        fixture.reply_ok("1");
        fixture.expect_dispatched(&["2"]).await;
        let body = match &fixture.proxy.exchanges.borrow()[0].body {
            RequestBody::Buffered(body) => body.clone(),
            RequestBody::Streamed(_) => panic!("a short body is buffered"),
        };
        assert_eq!(&body[..], b"abc");
        fixture.reply_ok("2");
        fixture.expect_dispatched(&["3"]).await;
        drop(client);
        settle().await;
        assert!(fixture.proxy.remove("3").reply.is_closed(), "the exchange outlives its client's connection");
        assert_eq!(
            (fixture.frontend.counts().client_gone.get(), fixture.lifecycle.open_connections()),
            (1, 0)
        );
    });
}

#[test]
fn a_streamed_response_is_forwarded_completely_or_its_truncation_is_visible() {
    run_test(async {
        let fixture = FrontendFixture::new("");
        let part = || BodyPart::Data(Bytes::from_static(b"0123456789"));
        // (Content-Length, number of 10-byte parts, whether an end follows, the start of the body that the client
        // receives)
        for (length, parts, ends, expected_body) in [
            (None, 2, true, "a\r\n0123456789\r\na\r\n0123456789\r\n0\r\n\r\n"),
            (None, 2, false, "a\r\n0123456789\r\na\r\n0123456789\r\n"),
            (Some(20), 2, true, "01234567890123456789"),
            (Some(20), 1, false, "0123456789"),
            (Some(20), 1, true, "0123456789"),
            (Some(10), 2, true, "0123456789"),
        ] {
            let mut client = fixture.client();
            let complete = ends && length.is_none_or(|length| length == parts * 10);
            send(&mut client, &[get("/i/", "1"), get("/i/", "2")].concat()).await;
            fixture.expect_dispatched(&["1", "2"]).await;
            let (sender, served) = streamed_response(length);
            fixture.reply("1", Answer::Served(served));
            fixture.reply_ok("2");
            for _ in 0..parts {
                sender.send(part()).await.unwrap_or(());
            }
            if ends {
                sender.send(BodyPart::End).await.unwrap_or(());
            }
            drop(sender);
            settle().await;
            let mut text = vec![0; 4096];
            let count = client.read(&mut text).await.expect("response bytes");
            let text = String::from_utf8_lossy(&text[..count]).to_string();
            let body = text.split_once("\r\n\r\n").expect("a head").1;
            assert!(body.starts_with(expected_body), "{length:?} {parts} {ends}: {text}");
            assert_eq!(body.contains("body of 2"), complete, "{length:?} {parts} {ends}: {text}");
            if !complete {
                assert_eq!(
                    (body, &read_to_end(&mut client).await[..]),
                    (expected_body, ""),
                    "{length:?} {parts} {ends}"
                );
            }
        }
    });
}

#[test]
fn invalid_requests_get_an_error_and_are_not_dispatched() {
    run_test(async {
        let fixture = FrontendFixture::new(r#""max_header_bytes":300,"max_body_bytes":1000"#);
        let request = |line: &str| format!("GET /k/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\n{line}\r\n");
        let two_framings = "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n";
        let smuggled = format!(
            "POST /i/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\n{two_framings}\r\n0\r\n\r\n{}",
            get("/i/", "smuggled")
        );
        // (request, status, whether the connection stays open)
        for (text, status, keep_alive) in [
            (get("/none/", "1"), 404, true),
            (post("/none/", "1", "a body that is skipped"), 404, true),
            (get("/k/", "1"), 401, true),
            (request("Authorization: Bearer bad\r\n"), 401, true),
            (request("Authorization: Basic good\r\n"), 401, true),
            (request("Authorization: Bearer good\r\nAuthorization: Bearer good\r\n"), 401, true),
            // The route and the tenant have no home region in common.
            (request("Authorization: Bearer away\r\n"), 503, true),
            (request("X-Deadline-Remaining: soon\r\n"), 400, true),
            (request("X-Deadline-Remaining: 0\r\nAuthorization: Bearer good\r\n"), 503, true),
            ("GET /i/ HTTP/1.1\r\nHost: h\r\n\r\n".to_string(), 400, true),
            (request(&format!("X: {}\r\n", "x".repeat(400))), 431, false),
            (post("/i/", "1", &"x".repeat(1001)), 413, false),
            ("GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n".to_string(), 400, false),
            ("GET / HTTP/1.1\nHost: h\n\n".to_string(), 400, false),
            (smuggled, 400, false),
        ] {
            let mut client = fixture.client();
            send(&mut client, &text).await;
            let (head, body) = read_response(&mut client).await;
            assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{text}: {head}");
            assert_eq!(head.contains("Connection: close"), !keep_alive, "{text}: {head}");
            assert_eq!(head.contains("Retry-After: "), status == 503, "{text}: {head}");
            assert!(body.starts_with("{\"error\":\"") && !head.contains("Seal"), "{body}");
            if keep_alive {
                send(&mut client, &get("/i/", "next")).await;
                fixture.expect_dispatched(&["next"]).await;
                fixture.reply_ok("next");
                assert_eq!(read_response(&mut client).await.1, "body of next");
            } else {
                assert_eq!(read_to_end(&mut client).await, "");
            }
            assert!(fixture.proxy.attempt_ids().is_empty(), "{text}: {:?}", fixture.proxy.attempt_ids());
        }
        // The total length of a chunked body is known only at its end.
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
fn the_api_key_selects_the_tenant_and_requests_that_admission_refuses_get_429_or_503() {
    run_test(async {
        let fixture = FrontendFixture::new("");
        let mut client = fixture.client();
        let request = "GET /k/ HTTP/1.1\r\nhost: H:80\r\nX-Attempt-Id: 1\r\nX-Deadline-Remaining: 700.5\r\n\
            authorization: bearer good\r\n\r\n";
        send(&mut client, request).await;
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
        for (decision, stale_retry_after_ms, (status, header)) in [
            (AdmissionDecision::OverQuota(1234.0), None, ("429", "Retry-After: 1.234\r\n")),
            (AdmissionDecision::QuotaUnknown(0.0), None, ("503", "Retry-After: 0.100\r\n")),
            // The admitted unit has expired.
            (AdmissionDecision::Admitted(1.0), None, ("503", "Retry-After: ")),
            (AdmissionDecision::Admitted(f64::INFINITY), Some(300.0), ("503", "Retry-After: 0.300\r\n")),
        ] {
            fixture.admission.decision.set(decision);
            fixture.admission.stale_retry_after_ms.set(stale_retry_after_ms);
            send(&mut client, request).await;
            let head = read_response(&mut client).await.0;
            assert!(head.starts_with(&format!("HTTP/1.1 {status} ")) && head.contains(header), "{head}");
            assert!(head.contains("X-Attempt-Id: 1\r\n") && fixture.proxy.attempt_ids().is_empty(), "{head}");
        }
        let log_line = fixture.frontend.over_quota().take_log_line();
        assert_eq!(log_line.as_deref(), Some("event=over_quota refused=1 tenants=1 most=\"t\" its=1"));
        assert_eq!(fixture.frontend.over_quota().take_log_line(), None, "the log line is taken only once");
        assert!(fixture.admission.admit_calls.borrow().iter().all(|tenant| tenant == "t"));
        // A route without authentication is served although the keys are stale.
        send(&mut client, &get("/i/", "2")).await;
        fixture.expect_dispatched(&["2"]).await;
    });
}

#[test]
fn each_result_of_the_proxy_has_its_status() {
    run_test(async {
        let fixture = FrontendFixture::new("");
        let mut client = fixture.client();
        for (answer, status, retry_after) in [
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
            assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
            assert_eq!(head.contains("Retry-After"), retry_after.is_some(), "{head}");
            assert!(retry_after.is_none_or(|line| head.contains(line)), "{head}");
        }
        let short_deadline =
            "GET /i/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nX-Deadline-Remaining: 5\r\n\r\n";
        send(&mut client, short_deadline).await;
        fixture.expect_dispatched(&["1"]).await;
        let arrived = fixture.proxy.exchanges.borrow()[0].arrived;
        while fixture.wheel.now() < arrived + 5.0 {
            tokio::task::yield_now().await;
        }
        fixture.reply("1", Answer::Failed);
        assert!(read_response(&mut client).await.0.starts_with("HTTP/1.1 504 "));
        // The response to HEAD has the Content-Length of the body of a GET, but no body.
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

/// Reads the streamed request body; returns its bytes and whether it was complete.
async fn collect_body(exchange: &Exchange) -> (Vec<u8>, bool) {
    let RequestBody::Streamed(stream) = &exchange.body else { panic!("not streamed") };
    let mut stream = stream.borrow_mut().take().expect("the body has not been taken");
    let mut bytes = Vec::new();
    while let Some(part) = stream.parts.recv().await {
        match part {
            BodyPart::Data(part) => {
                assert!(part.len() <= 16 * 1024);
                bytes.extend_from_slice(&part);
            }
            BodyPart::End => return (bytes, true),
        }
    }
    (bytes, false)
}

#[test]
fn long_request_bodies_are_streamed_and_the_connection_stays_open() {
    run_test(async {
        let fixture = FrontendFixture::new("");
        let body: Vec<u8> = (0..200_000u32).map(|index| (index % 251) as u8).collect();
        for chunked in [true, false] {
            let client = fixture.client();
            let (mut reader, mut writer) = tokio::io::split(client);
            let framing = match chunked {
                true => "Transfer-Encoding: chunked".to_string(),
                false => format!("Content-Length: {}", body.len()),
            };
            let head = format!("POST /n/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nExpect: 100-continue\r\n{framing}\r\n\r\n");
            writer.write_all(head.as_bytes()).await.expect("sent");
            let mut interim = [0; 25];
            reader.read_exact(&mut interim).await.expect("interim response");
            assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
            let sent = body.clone();
            let writing = tokio::task::spawn_local(async move {
                for part in sent.chunks(30_011) {
                    if chunked {
                        writer.write_all(format!("{:x}\r\n", part.len()).as_bytes()).await.expect("sent");
                    }
                    writer.write_all(part).await.expect("sent");
                    if chunked {
                        writer.write_all(b"\r\n").await.expect("sent");
                    }
                }
                let end = if chunked { "0\r\n\r\n" } else { "" };
                writer.write_all((end.to_string() + &get("/i/", "2")).as_bytes()).await.expect("sent");
                writer
            });
            fixture.expect_dispatched(&["1"]).await;
            let exchange = fixture.proxy.remove("1");
            let (received, complete) = collect_body(&exchange).await;
            assert!(
                complete && received == body,
                "chunked {chunked}: {} bytes, complete {complete}",
                received.len()
            );
            assert!(exchange.reply.send(Answer::Served(buffered_response(200, "1"))).is_ok());
            let writer = writing.await.expect("writer task");
            fixture.expect_dispatched(&["2"]).await;
            fixture.reply_ok("2");
            settle().await;
            let mut client = reader.unsplit(writer);
            assert_eq!(read_response(&mut client).await.1, "body of 1");
            assert_eq!(read_response(&mut client).await.1, "body of 2");
        }
        // The client disconnects within the body: the proxy sees the body break off without an end.
        let mut client = fixture.client();
        send(
            &mut client,
            "POST /n/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 3\r\nContent-Length: 100000\r\n\r\nxyz",
        )
        .await;
        fixture.expect_dispatched(&["3"]).await;
        drop(client);
        let exchange = fixture.proxy.remove("3");
        assert_eq!(collect_body(&exchange).await, (b"xyz".to_vec(), false));
        assert!(exchange.reply.is_closed());
    });
}

#[test]
fn an_incomplete_request_times_out_with_408_and_an_idle_connection_is_closed_without_a_response() {
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
        // A connection whose client doesn't read its response is closed.
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
fn requests_are_parsed_the_same_however_their_bytes_are_split() {
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
            let mut unsent = &sent[..];
            while !unsent.is_empty() {
                let (next, rest) = unsent.split_at(rng.usize(1..=unsent.len().min(80)));
                send(&mut client, next).await;
                for _ in 0..rng.usize(0..3) {
                    tokio::task::yield_now().await;
                }
                unsent = rest;
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

#[test]
fn requests_of_a_tenant_whose_trial_lapsed_wait_in_a_bounded_queue_unless_their_rank_is_3() {
    run_test(async {
        let fixture = FrontendFixture::new("");
        assert!(fixture.admission.pacing().is_none(), "pacing is active without a lapsed trial");
        let trial = TrialInfo { tenant: "t".into(), step: 1, stage: 1, in_ms: 0 };
        fixture.admission.pacing.update_trials(&[trial], Some(fixture.document.config()));
        // The queue may hold requests for half a minute; the test ends before that.
        let mut clients = Vec::new();
        for id in 0..64 {
            let mut client = fixture.client();
            send(&mut client, &authorized_request("GET", "/w/", &format!("w{id}"))).await;
            clients.push(client);
        }
        settle().await;
        assert_eq!(fixture.admission.pacing.tenant_statuses()[0].waiting, 64);
        let mut refused_client = fixture.client();
        send(&mut refused_client, &authorized_request("GET", "/w/", "refused")).await;
        let (head, body) = read_response(&mut refused_client).await;
        assert!(head.starts_with("HTTP/1.1 429 ") && head.contains("Retry-After: "), "{head}");
        assert!(body.contains("trial"), "{body}");
        assert!(fixture.admission.admit_calls.borrow().is_empty(), "no unit is taken for a queued request");
        // Requests of rank 3 (here by the route's type) are never queued, and neither are requests without a key.
        let mut rank_3_client = fixture.client();
        send(&mut rank_3_client, &authorized_request("POST", "/k/", "rank-3")).await;
        let mut open_client = fixture.client();
        send(&mut open_client, &get("/i/", "open")).await;
        fixture.expect_dispatched(&["rank-3", "open"]).await;
        // Clients that disconnect leave the queue.
        clients.truncate(60);
        settle().await;
        assert_eq!(fixture.admission.pacing.tenant_statuses()[0].waiting, 60);
        let mut new_client = fixture.client();
        send(&mut new_client, &authorized_request("GET", "/w/", "new")).await;
        settle().await;
        assert_eq!(
            (fixture.admission.pacing.tenant_statuses()[0].waiting, fixture.proxy.attempt_ids().len()),
            (61, 2)
        );
        assert_eq!(fixture.frontend.counts().over_quota.get(), 1);
    });
}

#[test]
fn non_idempotent_requests_are_dispatched_once_and_answered_once_at_every_trial_stage() {
    run_test(async {
        let fixture = FrontendFixture::new("");
        for stage in 1..=4_u32 {
            let trial = TrialInfo { tenant: "t".into(), step: u64::from(stage), stage, in_ms: 0 };
            fixture.admission.pacing.update_trials(&[trial], Some(fixture.document.config()));
            // In the last case the proxy drops the exchange: the request may have run.
            for (case, status) in ["200", "502", "503", "502"].into_iter().enumerate() {
                let id = format!("{stage}-{case}");
                let mut client = fixture.client();
                send(&mut client, &authorized_request("POST", "/k/", &id)).await;
                fixture.expect_dispatched(&[&id]).await;
                match case {
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
        assert_eq!(fixture.admission.admit_calls.borrow().len(), 16, "one unit for each request");
    });
}
