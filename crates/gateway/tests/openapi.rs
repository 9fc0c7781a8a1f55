//! The second front: the same traffic through a description and through the equivalent hand configuration,
//! every decision compared; then what a description may not do.

mod scenario;

use nickeljunction::config::Config;
use nickeljunction::front::openapi::{OpenApi, RepeatRule};
use nickeljunction_core::facade::Settings;
use scenario::{Rig, SETTINGS};

/// Front-desk screens: the check-in is wrongly marked safe, a slot's own path meets a template, one screen is
/// keyed, and the app also calls an endpoint that nobody described.
const DESCRIPTION: &str = r##"{"openapi":"3.0.3","info":{"title":"desk","version":"1"},
 "servers":[{"url":"https://desk.example/v1"}],
 "components":{"parameters":{"Key":{"name":"Idempotency-Key","in":"header","required":true}}},
 "paths":{
  "/slots/{id}":{"get":{"operationId":"slot","x-units":2,
    "parameters":[{"name":"id","in":"path","required":true}]}},
  "/slots/open":{"x-units":1,"get":{"operationId":"open"}},
  "/holds":{"post":{"operationId":"hold","x-request-class":"keyed","x-units":1,
    "parameters":[{"$ref":"#/components/parameters/Key"}]}},
  "/checkins":{"post":{"operationId":"checkin","x-request-class":"safe","x-repeat":"safe","x-units":2}},
  "/exports":{"get":{"operationId":"export","x-units":1}}}}"##;

/// The same by hand.
const ROUTES: &str = r#"{"unsafe":["GET /v1/exports"],"routes":[
 {"method":"GET","path":"/v1/slots/{slot}","class":"safe","repeat":"safe","units":2},
 {"method":"GET","path":"/v1/slots/open","class":"safe","units":1},
 {"method":"POST","path":"/v1/holds","class":"keyed","repeat":"keyed","key_required":true,"units":1},
 {"method":"POST","path":"/v1/checkins","class":"safe","repeat":"never","units":2},
 {"method":"GET","path":"/v1/exports","class":"once","units":1}]}"#;

/// The operator's file for the description, which lies beside it as `desk.json`.
const FILE: &str = r#"{"description":"desk.json","unsafe":["GET /v1/exports"]}"#;

fn settings() -> Settings {
    let text = format!(r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","settings":{SETTINGS}}}"#);
    Config::parse(&text).expect("a configuration").settings
}

fn load(file: &str, description: &str) -> Result<OpenApi, String> {
    let read = |_: &str| Ok(description.to_string());
    OpenApi::parse(file, &settings(), read).map_err(|why| why.to_string())
}

/// Everything that a decision shows in: what regions get, what the counter is asked, what clients are told.
/// One region, so that chance picks nothing: where a repeat is allowed there is no place for it, and the
/// client is refused (harmless), where it is not the request has failed.
const TRAFFIC: &str = "
    # Units are the route's, whatever the client claims; the answer settles them.
    a: send GET /v1/slots/17 units=6 customer=1
    c: expect 1 2
    r1: expect GET /v1/slots/17
    r1: send 200 seventeen settled=2
    a: expect 200 seventeen
    # Literal before template: one unit, not two.
    a: send GET /v1/slots/open customer=2
    c: expect 2 1
    r1: expect GET /v1/slots/open
    r1: send 500
    a: expect 503 short retry
    # A hold with its key may be repeated, without it never.
    a: send POST /v1/holds key=k1 customer=3
    c: expect 3 1
    r1: expect POST /v1/holds key=k1
    r1: send 500
    a: expect 503 short retry
    a: send POST /v1/holds customer=4
    c: expect 4 1
    r1: expect POST /v1/holds
    r1: send 500
    a: expect 502 failed
    # The check-in marked safe is never run twice, after an error or a break.
    a: send POST /v1/checkins customer=5
    c: expect 5 2
    r1: expect POST /v1/checkins
    r1: send 500
    a: expect 502 failed
    a: send POST /v1/checkins customer=6
    c: expect 6 2
    r1: expect POST /v1/checkins
    r1: close
    a: expect 502 failed
    # Turned away unseen it may go out again, and a refusal then does no harm.
    a: send POST /v1/checkins customer=7
    c: expect 7 2
    r1: expect POST /v1/checkins
    r1: send 503 not-started
    a: expect 503 short retry
    # What the operator calls unsafe is never run twice, though it is a GET.
    a: send GET /v1/exports customer=8
    c: expect 8 1
    r1: expect GET /v1/exports
    r1: send 500
    a: expect 502 failed
    # Not described: most cautious class, highest guess.
    a: send GET /v1/forgotten customer=9
    c: expect 9 6
    r1: expect GET /v1/forgotten
    r1: send 500
    a: expect 502 failed
    # A deadline, on a region that says nothing.
    a: send POST /v1/checkins customer=10 timeout=2
    c: expect 16 2
    r1: expect POST /v1/checkins
    a: expect 502 failed
    r1: expect eof
    # A quota of four: the third lookup finds none left, and a plan nobody knows is no request.
    b: send GET /v1/slots/1 plan=small customer=11
    c: expect 17 2
    r1: expect GET /v1/slots/1
    r1: send 200 x settled=4
    b: expect 200 x
    b: send GET /v1/slots/2 plan=small customer=11
    b: expect 503 short retry
    b: send GET /v1/slots/2 plan=unknown customer=12
    b: expect 400";

/// What was seen when the traffic was played through this front.
fn decisions(front: &str) -> Vec<String> {
    Rig::new(1, &[("NICKELJUNCTION_FRONT", front)]).play(TRAFFIC)
}

#[test]
fn a_description_and_the_hand_configuration_are_decided_alike() {
    let described = scenario::naming(FILE, "desk.json", DESCRIPTION);
    let by_description = decisions(&described);
    let by_hand = decisions(ROUTES);
    assert!(by_hand.len() > 40, "{by_hand:?}");
    assert_eq!(by_description, by_hand);
}

#[test]
fn both_give_the_same_route_to_every_path() {
    let (described, by_hand) = (load(FILE, DESCRIPTION).expect("good"), load(ROUTES, "").expect("good"));
    for method in ["GET", "POST", "PUT"] {
        for path in
            ["/slots/1", "/slots/open", "/slots/..", "/slots/", "/holds", "/checkins", "/exports", "/x"]
        {
            let path = format!("/v1{path}");
            assert_eq!(described.route(method, &path), by_hand.route(method, &path), "{method} {path}");
        }
    }
    let rule =
        |method: &str, path: &str| described.route(method, path).map(|route| (route.repeat, route.units));
    assert_eq!(rule("GET", "/v1/slots/open"), Some((RepeatRule::Safe, 1.0)));
    assert_eq!(rule("GET", "/v1/slots/9"), Some((RepeatRule::Safe, 2.0)));
    assert_eq!(rule("GET", "/v1/slots/.."), None);
    assert_eq!(rule("POST", "/v1/holds"), Some((RepeatRule::Keyed, 1.0)));
    assert_eq!(rule("POST", "/v1/checkins"), Some((RepeatRule::Never, 2.0)));
    assert_eq!(rule("GET", "/v1/exports"), Some((RepeatRule::Never, 1.0)));
    assert!(described.warnings.iter().any(|warning| warning.contains("POST /v1/checkins")));
}

#[test]
fn an_operator_may_have_the_undescribed_refused() {
    let file = ROUTES.replacen('{', r#"{"undescribed":"refuse","#, 1);
    Rig::new(1, &[("NICKELJUNCTION_FRONT", &file)])
        .play("a: send GET /v1/forgotten\na: expect 404 not described");
}

#[test]
fn a_contradiction_fails_the_load_and_names_the_operation() {
    for (from, to, said) in [
        (
            r#""x-request-class":"safe""#,
            r#""x-request-class":"gold""#,
            "POST /v1/checkins: unknown class 'gold'",
        ),
        (r#""x-repeat":"safe""#, r#""x-repeat":"keyed""#, "POST /v1/checkins: said to be keyed"),
        (r#""x-repeat":"safe""#, r#""x-repeat":"often""#, "POST /v1/checkins: unknown repeat rule"),
        (r#""operationId":"checkin","#, r#""operationId":"hold","#, "operationId 'hold' is taken"),
        (r#""x-units":2}}"#, r#""x-units":70}}"#, "POST /v1/checkins: 70 units"),
        (
            r#""name":"id","in":"path""#,
            r#""name":"no","in":"path""#,
            "GET /v1/slots/{id}: path parameter 'no'",
        ),
        (r##"parameters/Key""##, r##"parameters/Lost""##, "POST /v1/holds: reference"),
        (r#""/exports":{"#, r#""/slots/{other}":{"#, "/v1/slots/{other}: another operation"),
        (r#""openapi":"3.0.3""#, r#""openapi":"2.0""#, "must name a version 3"),
    ] {
        assert!(DESCRIPTION.contains(from), "{from}");
        let why = load(FILE, &DESCRIPTION.replacen(from, to, 1)).expect_err(said);
        assert!(why.contains(said), "{why}");
    }
    assert!(load(r#"{"descriptoin":"x"}"#, "").expect_err("a typo").contains("descriptoin: unknown key"));
}

#[test]
fn the_example_that_ships_is_good() {
    let file = include_str!("../../../deploy/front.example.json");
    let mut settings = settings();
    let names = ["slot-lookup", "slot-hold", "donor-checkin"];
    settings.classes.iter_mut().zip(names).for_each(|(class, name)| class.name = name.into());
    let description = include_str!("../../../deploy/front-desk.openapi.json").to_string();
    let front = OpenApi::parse(file, &settings, |_| Ok(description.clone())).expect("good");
    assert!(front.warnings.is_empty(), "{:?}", front.warnings);
    let rule = |method: &str, path: &str| front.route(method, path).map(|route| route.repeat);
    assert_eq!(rule("POST", "/v1/checkins"), Some(RepeatRule::Never));
    assert_eq!(rule("GET", "/v1/exports"), Some(RepeatRule::Never));
}
