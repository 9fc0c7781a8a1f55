//! The configuration as an immutable table, compiled once per version: the route, tenant and home regions of a request.
//! Gateways route requests by it, and `njctl explain` shows it.

use nickeljunction_schema::{Config, Limits, RouteType};
use std::borrow::Cow;
use std::rc::Rc;

type Map<K, V> = hashbrown::HashMap<K, V, ahash::RandomState>;

/// Limits for the size and duration of a client's requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Maximum size of a request head, bytes.
    pub head: usize,
    /// Maximum size of a request body, bytes.
    pub body: u64,
    /// Maximum time from the first byte of a head to its last, and between two parts of a body, ms.
    pub head_ms: f64,
    /// Maximum time that a connection may be without a request, ms.
    pub idle_ms: f64,
}

impl Bounds {
    fn of(limits: &Limits) -> Bounds {
        Bounds {
            head: usize::try_from(limits.header_bytes()).unwrap_or(usize::MAX),
            body: limits.body_bytes(),
            head_ms: limits.header_ms(),
            idle_ms: limits.idle_ms(),
        }
    }
}

/// A compiled route.
#[derive(Debug)]
pub struct Route {
    /// Its name in the configuration.
    pub name: Box<str>,
    /// A request may be executed more than once.
    pub repeatable: bool,
    /// Requests with the same `X-Operation-Key` are one operation, which is executed at most once.
    pub keyed: bool,
    /// Responses are large: they are streamed to the client, and break off if the server's response does.
    pub large_answers: bool,
    /// Maximum time that a gateway holds a request, ms.
    pub timeout_ms: f64,
    /// A response within this time has its full value to the client, ms.
    pub aim_ms: f64,
    /// Maximum number of servers to which one request may be sent, at least 1.
    pub max_attempts: u32,
    /// Requests need no API key.
    pub open: bool,
    /// In which order the route's requests are held back when their tenant is slowed down: 1 first, 2 later, 3 never.
    pub gives_way: u32,
    priority: u32,
    /// Services with their weights, all above 0.
    shares: Box<[(Rc<str>, f64)]>,
    /// Index into [`Homes::lists`].
    homes: usize,
}

impl Route {
    /// The route's services, each with its share of all requests. The shares add up to 1.
    pub fn parts(&self) -> impl Iterator<Item = (&str, f64)> + '_ {
        let total = self.shares.iter().map(|(_, weight)| weight).sum::<f64>();
        self.shares.iter().map(move |(backend, weight)| (&**backend, weight / total))
    }

    /// The service for one request; `random` is a random number from 0 to 1, 1 excluded. `None`: no service has a
    /// weight.
    pub fn backend(&self, random: f64) -> Option<&Rc<str>> {
        let total = self.shares.iter().map(|(_, weight)| weight).sum::<f64>();
        let mut remaining = random * total;
        let chosen = self.shares.iter().find(|(_, weight)| {
            remaining -= weight;
            remaining < 0.0
        });
        // Because of rounding errors the number may exceed the sum of all weights slightly.
        chosen.or(self.shares.last()).map(|(backend, _)| backend)
    }
}

/// The owner of one or more API keys.
#[derive(Debug)]
pub struct Tenant {
    /// Its name in the configuration.
    pub name: Rc<str>,
    priority: Option<u32>,
    /// Index into [`Homes::lists`].
    homes: usize,
}

#[derive(Debug, Default)]
struct Host {
    /// Routes by prefix, for prefixes that end in a slash, as all prefixes should.
    slash_prefixes: Map<Box<str>, Rc<Route>>,
    /// Routes with other prefixes, longest prefix first.
    other_prefixes: Vec<(Box<str>, Rc<Route>)>,
}

/// The result of looking up the route for a host and a path.
#[derive(Debug, Clone)]
pub enum RouteMatch {
    /// The matching route.
    Route(Rc<Route>),
    /// No route matches.
    NotFound,
    /// No configuration has been received yet, so it is not known whether a route matches.
    NotLoaded,
}

/// Pairs of a route that needs a key and a tenant whose homes have no region in common, so that no region may serve
/// such requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DisjointHomes {
    /// Number of such pairs.
    pub pairs: usize,
    /// The first of these routes by name.
    pub route: Box<str>,
    /// The first tenant by name that has no home in common with `route`.
    pub tenant: Box<str>,
}

/// A compiled configuration.
#[derive(Debug)]
pub struct Table {
    /// Version of the configuration; 0: none has been received yet.
    pub version: u64,
    /// Limits for requests of clients.
    pub bounds: Bounds,
    hosts: Map<Box<str>, Host>,
    tenants_by_key: Map<Box<str>, Rc<Tenant>>,
    has_tenants: bool,
    homes: Homes,
    disjoint_homes: Option<DisjointHomes>,
}

impl Table {
    /// The table before any configuration has been received.
    pub fn empty() -> Table {
        Table::of(&Config::default())
    }

    /// Compiles a valid configuration.
    pub fn of(config: &Config) -> Table {
        let mut homes = Homes::default();
        // Routes to the same service share its name.
        let mut backend_names: Map<&str, Rc<str>> = Map::default();
        let mut hosts: Map<Box<str>, Host> = Map::default();
        for (name, route) in &config.routes {
            let shares = route.shares().filter(|(_, weight)| *weight > 0.0);
            let shares = shares.map(|(backend, weight)| {
                (backend_names.entry(backend).or_insert_with(|| Rc::from(backend)).clone(), weight)
            });
            let compiled = Rc::new(Route {
                name: name.as_str().into(),
                repeatable: route.route_type().repeatable(),
                keyed: route.route_type() == RouteType::Keyed,
                large_answers: route.route_type() == RouteType::Download,
                timeout_ms: route.timeout_ms(),
                aim_ms: route.aim_ms(),
                max_attempts: route.max_attempts().max(1),
                gives_way: route.rank(),
                open: route.no_auth,
                priority: route.priority(),
                shares: shares.collect(),
                homes: homes.index(&route.home_regions),
            });
            let host = hosts.entry(normalized_host(&route.hostname).into()).or_default();
            match route.path_prefix.ends_with('/') {
                true => drop(host.slash_prefixes.insert(route.path_prefix.as_str().into(), compiled)),
                false => host.other_prefixes.push((route.path_prefix.as_str().into(), compiled)),
            }
        }
        for host in hosts.values_mut() {
            host.other_prefixes.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        }
        let mut tenants_by_key: Map<Box<str>, Rc<Tenant>> = Map::default();
        for (name, tenant) in &config.tenants {
            let homes = homes.index(&tenant.home_regions);
            let compiled = Rc::new(Tenant { name: name.as_str().into(), priority: tenant.priority, homes });
            let keys = tenant.api_keys.iter();
            tenants_by_key.extend(keys.map(|key| (key.as_str().into(), compiled.clone())));
        }
        homes.intersect_all();
        let disjoint_homes = homes.find_disjoint(config);
        Table {
            version: config.config_version,
            bounds: Bounds::of(&config.limits),
            hosts,
            tenants_by_key,
            has_tenants: config.has_tenants(),
            homes,
            disjoint_homes,
        }
    }

    /// Requests that no region may serve, if there are any: most likely a mistake in the configuration.
    pub fn disjoint_homes(&self) -> Option<&DisjointHomes> {
        self.disjoint_homes.as_ref()
    }

    /// The route with the longest prefix that matches. `host` is the value of a `Host` header, of which case and port
    /// are ignored; `path` comes without its query.
    pub fn find(&self, host: &str, path: &str) -> RouteMatch {
        if self.version == 0 {
            return RouteMatch::NotLoaded;
        }
        let Some(host) = self.hosts.get(&*normalized_host(host)) else { return RouteMatch::NotFound };
        let other = host.other_prefixes.iter().find(|(prefix, _)| path.starts_with(&**prefix));
        let other_len = other.map_or(0, |(prefix, _)| prefix.len());
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        let mut ends = slashes.map(|(index, _)| index + 1).take_while(|end| *end > other_len);
        let longer = ends.find_map(|end| host.slash_prefixes.get(&path[..end]));
        match longer.or(other.map(|(_, route)| route)) {
            Some(route) => RouteMatch::Route(route.clone()),
            None => RouteMatch::NotFound,
        }
    }

    /// All routes of a host with their prefixes, the longest first: [`Table::find`] returns the first one whose prefix
    /// matches the path.
    pub fn candidates(&self, host: &str) -> Vec<(&str, &Rc<Route>)> {
        let Some(host) = self.hosts.get(&*normalized_host(host)) else { return Vec::new() };
        let slash = host.slash_prefixes.iter().map(|(prefix, route)| (&**prefix, route));
        let other = host.other_prefixes.iter().map(|(prefix, route)| (&**prefix, route));
        let mut routes: Vec<_> = slash.chain(other).collect();
        routes.sort_by_key(|(prefix, _)| (std::cmp::Reverse(prefix.len()), *prefix));
        routes
    }

    /// Regions that are a home of every route of the host that has homes; `None`: no route of the host has any. Before a
    /// configuration has been received the list is empty.
    pub fn host_homes(&self, host: &str) -> Option<Vec<String>> {
        if self.version == 0 {
            return Some(Vec::new());
        }
        let host = self.hosts.get(&*normalized_host(host))?;
        let other_routes = host.other_prefixes.iter().map(|(_, route)| route);
        let routes = host.slash_prefixes.values().chain(other_routes);
        let mut lists = routes.filter(|route| route.homes != 0).map(|route| &self.homes.lists[route.homes]);
        let mut common = lists.next()?.to_vec();
        for list in lists {
            common.retain(|home| list.contains(home));
        }
        Some(common)
    }

    /// Whether requests on this route need an API key.
    pub fn requires_key(&self, route: &Route) -> bool {
        self.has_tenants && !route.open
    }

    /// The tenant to which an API key belongs.
    pub fn tenant_by_key(&self, key: &str) -> Option<&Rc<Tenant>> {
        self.tenants_by_key.get(key)
    }

    /// Regions that may serve requests of this tenant on this route; empty: all regions. If both have homes, only their
    /// common homes are allowed; `None`: they have none in common, so no region may serve the request.
    pub fn homes(&self, route: &Route, tenant: Option<&Tenant>) -> Option<Rc<[String]>> {
        match (route.homes, tenant.map_or(0, |tenant| tenant.homes)) {
            (one, 0) | (0, one) => self.homes.lists.get(one).cloned(),
            (one, other) if one == other => self.homes.lists.get(one).cloned(),
            both => self.homes.common.get(&both).cloned(),
        }
    }
}

/// Whether servers in `region` may serve requests with these homes. Servers whose region is unknown (empty) may serve
/// only requests without homes.
pub fn region_allowed(region: &str, homes: &[String]) -> bool {
    homes.is_empty() || (!region.is_empty() && homes.iter().any(|home| home == region))
}

/// Distance between a server and a gateway, each given by zone and region: 0 in the same zone, 1 in the same region, 2
/// otherwise.
pub fn distance(server: (&str, &str), gateway: (&str, &str)) -> u8 {
    match () {
        () if server.0 == gateway.0 => 0,
        () if server.1 == gateway.1 => 1,
        () => 2,
    }
}

/// Priority of a request, 0 the highest: that of its tenant if it has one, otherwise that of its route.
pub fn priority(route: &Route, tenant: Option<&Tenant>) -> u32 {
    tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority)
}

/// Lists of home regions. Each distinct list is stored once, so that requests with the same homes share it.
#[derive(Debug)]
struct Homes {
    /// The first list is empty, which allows all regions.
    lists: Vec<Rc<[String]>>,
    /// Common regions of two lists, by the indices of the lists; absent: there are none.
    common: Map<(usize, usize), Rc<[String]>>,
}

impl Default for Homes {
    fn default() -> Homes {
        Homes { lists: vec![Rc::from([])], common: Map::default() }
    }
}

impl Homes {
    /// Index of the list with these regions in any order; adds it if necessary.
    fn index(&mut self, regions: &[String]) -> usize {
        let mut regions = regions.to_vec();
        regions.sort();
        regions.dedup();
        self.lists.iter().position(|list| list[..] == regions[..]).unwrap_or_else(|| {
            self.lists.push(regions.into());
            self.lists.len() - 1
        })
    }

    /// Finds routes and tenants that have no home in common. Must be called after [`Homes::intersect_all`]. Compares
    /// lists rather than pairs of routes and tenants, because there are few lists however many routes there are.
    fn find_disjoint(&mut self, config: &Config) -> Option<DisjointHomes> {
        // By list: the number of tenants that have it, and the first of them by name.
        let mut tenants: Map<usize, (usize, &str)> = Map::default();
        for (name, tenant) in &config.tenants {
            let same_list = tenants.entry(self.index(&tenant.home_regions)).or_insert((0, name));
            same_list.0 += 1;
        }
        let mut disjoint_homes: Option<DisjointHomes> = None;
        for (name, route) in config.routes.iter().filter(|(_, route)| !route.no_auth) {
            let homes = self.index(&route.home_regions);
            let is_disjoint = |other: usize| {
                homes != 0 && other != 0 && homes != other && !self.common.contains_key(&(homes, other))
            };
            let disjoint =
                tenants.iter().filter(|(other, _)| is_disjoint(**other)).map(|(_, same_list)| *same_list);
            let Some((pairs, tenant)) = disjoint.reduce(|one, other| (one.0 + other.0, one.1.min(other.1)))
            else {
                continue;
            };
            let first = || DisjointHomes { pairs: 0, route: name.as_str().into(), tenant: tenant.into() };
            disjoint_homes.get_or_insert_with(first).pairs += pairs;
        }
        disjoint_homes
    }

    /// Computes the common regions of each two lists.
    fn intersect_all(&mut self) {
        let list_count = self.lists.len();
        for one in 1..list_count {
            for other in 1..list_count {
                let common = self.lists[one].iter().filter(|region| self.lists[other].contains(region));
                let common: Vec<String> = common.cloned().collect();
                if one != other && !common.is_empty() {
                    let index = self.index(&common);
                    self.common.insert((one, other), self.lists[index].clone());
                }
            }
        }
    }
}

/// A host name in lower case, without port and trailing dot.
fn normalized_host(host: &str) -> Cow<'_, str> {
    let name = match host.strip_prefix('[').and_then(|rest| rest.find(']')) {
        Some(end) => &host[..end + 2],
        None => host.split(':').next().unwrap_or_default(),
    };
    let name = name.strip_suffix('.').unwrap_or(name);
    match name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        true => Cow::Owned(name.to_ascii_lowercase()),
        false => Cow::Borrowed(name),
    }
}

#[cfg(test)]
mod tests;
