//! The frontend after the start of an orderly shutdown: which requests it accepts and refuses, which connections it
//! closes, and what clients receive whose requests have no answer at the end.

mod frontend_fixture;

use frontend_fixture::*;
use nickeljunction_edge::shutdown::Shutdown;
use nickeljunction_messages::TrialInfo;

/// Time from the start of the shutdown to the end of the process, ms.
const GRACE_MS: f64 = 6_000.0;

/// Whether the answer tells the client to retry on another connection.
fn is_refusal(text: &str) -> bool {
    text.starts_with("HTTP/1.1 503 ")
        && text.contains("Retry-After: 0.050\r\n")
        && text.contains("Connection: close\r\n")
}

#[test]
fn at_shutdown_dispatched_requests_are_answered_and_the_last_answer_closes_the_connection() {
    run_test(async {
        let fixture = FrontendFixture::new("");
        let mut client = fixture.client();
        let sent = [get("/i/", "1"), get("/i/", "2"), post("/n/", "3", ""), get("/i/", "4")].concat();
        send(&mut client, &sent).await;
        fixture.expect_dispatched(&["1", "2"]).await;
        fixture.lifecycle.begin_shutdown(Shutdown::begin(fixture.wheel.now(), 0.0, GRACE_MS));
        fixture.reply_ok("2");
        fixture.reply_ok("1");
        let first = read_response(&mut client).await.0;
        assert!(!first.contains("Connection: close"), "{first}");
        let text = read_to_end(&mut client).await;
        assert!(text.contains("Connection: close\r\n") && text.ends_with("body of 2"), "{text}");
        drop(client);
        fixture.lifecycle.all_closed().await;
        assert!(
            fixture.proxy.attempt_ids().is_empty(),
            "dispatched behind the closing answer: {:?}",
            fixture.proxy.attempt_ids()
        );
        // A connection that opens after the start of the shutdown is closed after one request.
        let mut late_client = fixture.client();
        send(&mut late_client, &[get("/i/", "5"), get("/i/", "6")].concat()).await;
        fixture.expect_dispatched(&["5"]).await;
        fixture.reply_ok("5");
        assert!(read_to_end(&mut late_client).await.contains("Connection: close\r\n"));
        assert!(fixture.proxy.attempt_ids().is_empty());
        // An idle connection is closed.
        fixture.lifecycle.set_idle_grace_ms(1.0);
        assert_eq!(read_to_end(&mut fixture.client()).await, "");
    });
}

#[test]
fn a_request_that_could_not_finish_before_the_process_ends_is_refused_and_not_dispatched() {
    run_test(async {
        let fixture = FrontendFixture::new("");
        // The head is read before the start of the shutdown, the body after it.
        let mut early_client = fixture.client();
        send(
            &mut early_client,
            "POST /n/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 0\r\nContent-Length: 2\r\n\r\na",
        )
        .await;
        settle().await;
        fixture.lifecycle.begin_shutdown(Shutdown::begin(fixture.wheel.now(), 0.0, 0.0));
        send(&mut early_client, "b").await;
        let text = read_to_end(&mut early_client).await;
        assert!(is_refusal(&text), "{text}");
        for request in [get("/i/", "1"), post("/n/", "2", "body"), authorized_request("GET", "/w/", "3")] {
            let mut client = fixture.client();
            send(&mut client, &request).await;
            let text = read_to_end(&mut client).await;
            assert!(is_refusal(&text), "{request}: {text}");
        }
        assert_eq!(fixture.proxy.attempt_ids(), [""; 0]);
        assert!(
            fixture.admission.admit_calls.borrow().is_empty(),
            "quota was spent on requests that can't be sent"
        );
        let counts = fixture.frontend.counts();
        assert_eq!((counts.refused_at_shutdown.get(), counts.refused.get()), (4, 4));
    });
}

#[test]
fn the_timeout_of_a_request_after_the_start_of_shutdown_ends_with_the_last_answers() {
    run_test(async {
        let fixture = FrontendFixture::new("");
        let shutdown = Shutdown::begin(fixture.wheel.now(), 0.0, 1_800.0);
        fixture.lifecycle.begin_shutdown(shutdown);
        let mut client = fixture.client();
        send(&mut client, &get("/i/", "1")).await;
        fixture.expect_dispatched(&["1"]).await;
        let exchange = fixture.proxy.remove("1");
        assert!((exchange.arrived + exchange.timeout_ms - shutdown.answers_until).abs() < 1e-6);
    });
}

#[test]
fn at_the_end_of_shutdown_unanswered_requests_get_504() {
    run_test(async {
        let fixture = FrontendFixture::new("");
        let mut client = fixture.client();
        send(&mut client, &[get("/i/", "1"), get("/i/", "2")].concat()).await;
        fixture.expect_dispatched(&["1", "2"]).await;
        fixture.lifecycle.begin_shutdown(Shutdown::begin(fixture.wheel.now(), 0.0, GRACE_MS));
        fixture.reply_ok("2");
        settle().await;
        fixture.lifecycle.fail_unanswered();
        let (first, _) = read_response(&mut client).await;
        assert!(first.starts_with("HTTP/1.1 504 ") && first.contains("X-Attempt-Id: 1\r\n"), "{first}");
        let second = read_to_end(&mut client).await;
        assert!(second.starts_with("HTTP/1.1 200 ") && second.ends_with("body of 2"), "{second}");
        drop(client);
        fixture.lifecycle.all_closed().await;
        assert_eq!(fixture.frontend.counts().cut_by_end.get(), 1);
    });
}

#[test]
fn at_shutdown_all_requests_in_a_full_pacing_queue_are_dispatched() {
    run_test(async {
        let fixture = FrontendFixture::new("");
        let trial = TrialInfo { tenant: "t".into(), step: 1, stage: 1, in_ms: 0 };
        fixture.admission.pacing.update_trials(&[trial], Some(fixture.document.config()));
        let mut clients = Vec::new();
        for id in 0..64 {
            let mut client = fixture.client();
            send(&mut client, &authorized_request("GET", "/w/", &id.to_string())).await;
            clients.push(client);
        }
        settle().await;
        assert_eq!(fixture.admission.pacing.tenant_statuses()[0].waiting, 64);
        fixture.lifecycle.begin_shutdown(Shutdown::begin(fixture.wheel.now(), 0.0, GRACE_MS));
        fixture.admission.pacing.begin_shutdown();
        settle().await;
        assert_eq!(
            (fixture.admission.pacing.tenant_statuses()[0].waiting, fixture.proxy.attempt_ids().len()),
            (0, 64)
        );
        for (id, client) in clients.iter_mut().enumerate() {
            fixture.reply_ok(&id.to_string());
            let (head, _) = read_response(client).await;
            assert!(head.starts_with("HTTP/1.1 200 ") && head.contains("Connection: close"), "{head}");
        }
        // Later requests aren't queued either.
        let mut late_client = fixture.client();
        send(&mut late_client, &authorized_request("GET", "/w/", "late")).await;
        fixture.expect_dispatched(&["late"]).await;
    });
}
