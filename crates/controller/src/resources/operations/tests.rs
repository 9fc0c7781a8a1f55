use super::*;
use crate::disk::Job;
use crate::resources::inner::tests::alone;
use nickeljunction_messages::{path, ClaimAnswer, Claimant, OperationId};

fn claimant(number: u64) -> Claimant {
    Claimant { host: [127, 0, 0, 9].into(), incarnation: 5, number }
}

fn posted(call: &ClaimCall) -> Call {
    Call {
        method: "POST".into(),
        target: path::CLAIM.into(),
        headers: Default::default(),
        body: serde_json::to_vec(call).expect("JSON").into(),
        peer: ([127, 0, 0, 9], 1).into(),
    }
}

/// A member that answers claims: it leads, and its writes are done at once.
fn leading() -> (tokio::task::LocalSet, Rc<Driver>) {
    let tasks = tokio::task::LocalSet::new();
    let (driver, mut jobs) = alone();
    tasks.spawn_local(driver.wheel().clone().run());
    tasks.spawn_local(driver.clone().run());
    let disk = driver.clone();
    tasks.spawn_local(async move {
        while let Some(Job::Log(write)) = jobs.recv().await {
            disk.written(write.ticket, true, 0);
        }
    });
    (tasks, driver)
}

async fn claimed(claims: &Claims, call: ClaimCall) -> ClaimAnswer {
    let response = claims.handle(posted(&call)).await;
    assert_eq!(response.status, 200);
    serde_json::from_slice(&response.body).expect("an answer")
}

#[test]
fn a_claim_is_granted_to_one_claimant_until_it_is_released() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let (tasks, driver) = leading();
    tasks.block_on(&runtime, async {
        let claims = Claims(driver.clone());
        let operation = OperationId(7);
        let call = |number, released| ClaimCall { operation, claimant: claimant(number), released };
        // Nobody leads yet.
        assert_eq!(claims.handle(posted(&call(1, None))).await.status, 421);
        while driver.status()["leads"] != true {
            driver.wheel().sleep(5.0).await;
        }
        assert_eq!(claimed(&claims, call(1, None)).await, ClaimAnswer::Granted);
        assert_eq!(claimed(&claims, call(1, None)).await, ClaimAnswer::Granted, "repeated");
        assert_eq!(claimed(&claims, call(2, None)).await, ClaimAnswer::Held(claimant(1)));
        assert_eq!(claimed(&claims, call(2, Some(claimant(3)))).await, ClaimAnswer::Held(claimant(1)));
        assert_eq!(claimed(&claims, call(2, Some(claimant(1)))).await, ClaimAnswer::Granted, "taken over");
        assert_eq!(claimed(&claims, call(1, None)).await, ClaimAnswer::Held(claimant(2)));
        let standing = &driver.status()["operations"];
        assert_eq!((&standing["remembered"], &standing["claims"]), (&json!(1), &json!(2)));

        let operations = Operations(driver.clone());
        let asked = async |method: &str, target: &str| {
            let call = Call { method: method.into(), target: target.into(), ..posted(&call(1, None)) };
            let response = operations.handle(call).await;
            (response.status, serde_json::from_slice::<Value>(&response.body).expect("JSON"))
        };
        let (status, all) = asked("GET", OPERATIONS).await;
        assert_eq!(
            (status, &all["table"]["claims"], &all["table"]["generations"]),
            (200, &json!(2), &json!(1))
        );
        assert!(all["answered_during_ms"].as_u64().is_some_and(|ms| ms < 60_000), "{all}");
        assert_eq!(all["answered"], json!({"granted": 3, "held": 3, "full": 0, "unknown": 0}));
        let (status, one) = asked("GET", &format!("{OPERATIONS}/{operation}")).await;
        assert_eq!((status, &one["state"], &one["number"]), (200, &json!("holder_unknown"), &json!(2)));
        let (_, other) = asked("GET", &format!("{OPERATIONS}/{}", OperationId(8))).await;
        assert_eq!(other, json!({"operation": OperationId(8).to_string(), "state": "unclaimed"}));
        assert_eq!(asked("GET", "/-/operations/7").await.0, 404);
        assert_eq!(asked("DELETE", OPERATIONS).await.0, 405);
    });
}
