//! Lookup of routes, tenants and home regions.

use super::*;
use nickeljunction_schema::Document;

fn table() -> Table {
    let text = br#"{"config_version":3,"limits":{},"backends":{"a":{},"b":{},"c":{}},"routes":{
        "root":{"hostname":"One.example","path_prefix":"/","timeout_s":1,"backend":"a","priority":4},
        "deep":{"hostname":"one.example","path_prefix":"/x/y/","timeout_s":1,"backend":"b","home_regions":["s","r"]},
        "split":{"hostname":"two.example","path_prefix":"/x/","timeout_s":1,
            "traffic_split":[{"backend":"a","weight":90},{"backend":"b","weight":0},{"backend":"c","weight":10}]}},
        "tenants":{"t":{"api_keys":["k1","k2"],"priority":1,"home_regions":["q","r"]},
            "u":{"api_keys":["k3"],"home_regions":["q"]},"v":{"api_keys":["k4"]}}}"#;
    Table::of(Document::read(text).expect("valid").config())
}

fn route_name(table: &Table, host: &str, path: &str) -> String {
    match table.find(host, path) {
        RouteMatch::Route(route) => route.name.to_string(),
        RouteMatch::NotFound => "not found".to_string(),
        RouteMatch::NotLoaded => "not loaded".to_string(),
    }
}

#[test]
fn the_longest_prefix_wins_and_case_and_port_of_the_host_are_ignored() {
    let table = table();
    for (host, path, expected) in [
        ("one.example", "/x/y/z", "deep"),
        ("ONE.example.:8080", "/x/y/", "deep"),
        ("one.example", "/x/y", "root"),
        ("one.example:80", "/xx/y/z", "root"),
        ("two.example", "/y/x/", "not found"),
        ("two.example", "/x", "not found"),
        ("three.example", "/x/y/z", "not found"),
    ] {
        assert_eq!(route_name(&table, host, path), expected, "{host} {path}");
        let candidates = table.candidates(host);
        let first = candidates.iter().find(|(prefix, _)| path.starts_with(prefix));
        assert_eq!(first.map_or("not found", |(_, route)| &route.name), expected, "{host} {path}");
    }
    assert_eq!(route_name(&Table::empty(), "one.example", "/"), "not loaded");
}

#[test]
fn traffic_splits_follow_weights_and_skip_weight_zero() {
    let RouteMatch::Route(route) = table().find("two.example", "/x/1") else { panic!("no route") };
    let mut rng = fastrand::Rng::with_seed(11);
    let mut counts = [0; 3];
    for _ in 0..10_000 {
        match &**route.backend(rng.f64()).expect("has weights") {
            "a" => counts[0] += 1,
            "b" => counts[1] += 1,
            _ => counts[2] += 1,
        }
    }
    assert!(counts[1] == 0 && (800..1200).contains(&counts[2]), "{counts:?}");
    assert_eq!(route.backend(1.0).map(|backend| &**backend), Some("c"));
}

#[test]
fn a_tenant_without_a_common_home_with_a_route_is_reported() {
    // The homes of `deep` are s and r, that of `u` is q. `root` and `v` have none, so all regions are allowed.
    let expected = DisjointHomes { pairs: 1, route: "deep".into(), tenant: "u".into() };
    assert_eq!(table().disjoint_homes(), Some(&expected));
    assert_eq!(Table::empty().disjoint_homes(), None);
}

#[test]
fn the_homes_of_a_host_are_common_to_all_its_routes_with_homes() {
    let text = br#"{"config_version":3,"limits":{},"backends":{"a":{}},"routes":{
        "one":{"hostname":"h","path_prefix":"/x/","timeout_s":1,"backend":"a","home_regions":["q","r"]},
        "two":{"hostname":"h","path_prefix":"/y","timeout_s":1,"backend":"a","home_regions":["r","s"]}}}"#;
    let overlapping = Table::of(Document::read(text).expect("valid").config());
    assert_eq!(overlapping.host_homes("H:80"), Some(vec!["r".to_string()]));
    assert_eq!(table().host_homes("one.example"), Some(vec!["r".to_string(), "s".to_string()]));
    assert_eq!((table().host_homes("two.example"), table().host_homes("none")), (None, None));
    assert_eq!(Table::empty().host_homes("two.example"), Some(Vec::new()));
}

#[test]
fn homes_of_route_and_tenant_intersect_and_the_tenants_priority_takes_precedence() {
    let table = table();
    let route = |path| match table.find("one.example", path) {
        RouteMatch::Route(route) => route,
        other => panic!("no route for {path}: {other:?}"),
    };
    let (root, deep) = (route("/"), route("/x/y/"));
    let homes = |route: &Route, key| {
        let tenant = table.tenant_by_key(key).map(|tenant| &**tenant);
        table.homes(route, tenant).map(|homes| homes.join(" "))
    };
    assert_eq!(homes(&deep, "k2").as_deref(), Some("r"));
    assert_eq!(homes(&deep, "k3"), None);
    assert_eq!(homes(&deep, "k4").as_deref(), Some("r s"));
    assert_eq!(homes(&root, "k1").as_deref(), Some("q r"));
    assert_eq!(homes(&root, "none").as_deref(), Some(""));
    let priority_of = |key| priority(&root, table.tenant_by_key(key).map(|tenant| &**tenant));
    assert_eq!((priority_of("k1"), priority_of("k3"), priority_of("none")), (1, 4, 4));
}
