//! The configuration as an immutable table, compiled once a version: which route, tenant and homes a request has.
//! Gateways go by it, and `njctl explain` tells of it.

use nickeljunction_schema::{Config, Limits, RouteType};
use std::borrow::Cow;
use std::rc::Rc;

type Map<K, V> = hashbrown::HashMap<K, V, ahash::RandomState>;

/// What a client may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Longest head, bytes.
    pub head: usize,
    /// Longest body, bytes.
    pub body: u64,
    /// Longest time from the first byte of a head to its last, and between two parts of a body, ms.
    pub head_ms: f64,
    /// Longest time without a request, ms.
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

/// A route.
#[derive(Debug)]
pub struct Route {
    /// Its name in the configuration.
    pub name: Box<str>,
    /// A try may run more than once.
    pub repeatable: bool,
    /// Tries that carry the same `X-Operation-Key` are one operation, which runs at most once.
    pub keyed: bool,
    /// Answers are large: they are passed on as they come, and break off where their server's do.
    pub large_answers: bool,
    /// Longest time that a request is held, ms.
    pub timeout_ms: f64,
    /// Full worth is earned within this time, ms.
    pub aim_ms: f64,
    /// Most servers that one try may be sent to, 1 at least.
    pub max_attempts: u32,
    /// Requests need no key.
    pub open: bool,
    /// In which order its requests give way where their tenant is slowed: 1 first, 2 later, 3 never.
    pub gives_way: u32,
    priority: u32,
    shares: Box<[(Rc<str>, f64)]>,
    homes: usize,
}

impl Route {
    /// Its services with their parts of all requests, which add up to 1.
    pub fn parts(&self) -> impl Iterator<Item = (&str, f64)> + '_ {
        let total = self.shares.iter().map(|(_, weight)| weight).sum::<f64>();
        self.shares.iter().map(move |(backend, weight)| (&**backend, weight / total))
    }

    /// The service for one request; `lot` is a draw out of 0 to 1, 1 excluded. `None`: no service has a weight.
    pub fn backend(&self, lot: f64) -> Option<&Rc<str>> {
        let total = self.shares.iter().map(|(_, weight)| weight).sum::<f64>();
        let mut left = lot * total;
        // Rounding may leave the draw a hair beyond the last weight: then the last service is meant.
        let drawn = self.shares.iter().find(|(_, weight)| {
            left -= weight;
            left < 0.0
        });
        drawn.or(self.shares.last()).map(|(backend, _)| backend)
    }
}

/// Who holds a key.
#[derive(Debug)]
pub struct Tenant {
    /// Its name.
    pub name: Rc<str>,
    priority: Option<u32>,
    homes: usize,
}

#[derive(Debug, Default)]
struct Host {
    /// Routes by prefix, for prefixes that end in a slash, as all should.
    whole: Map<Box<str>, Rc<Route>>,
    /// The others, longest first.
    odd: Vec<(Box<str>, Rc<Route>)>,
}

/// What a table says of a host and a path.
#[derive(Debug, Clone)]
pub enum RouteMatch {
    /// A route.
    Route(Rc<Route>),
    /// There is none.
    NotFound,
    /// No configuration has come yet: nobody knows.
    NotLoaded,
}

/// Routes that want a key and tenants whose homes have no region in common: nobody may serve such requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DisjointHomes {
    /// How many pairs of a route and a tenant.
    pub pairs: usize,
    /// The first of these routes by name, and the first of its tenants.
    pub route: Box<str>,
    /// See `route`.
    pub tenant: Box<str>,
}

/// A configuration, compiled.
#[derive(Debug)]
pub struct Table {
    /// Its version; 0: none has come yet.
    pub version: u64,
    /// What a client may send.
    pub bounds: Bounds,
    hosts: Map<Box<str>, Host>,
    keys: Map<Box<str>, Rc<Tenant>>,
    keyed: bool,
    homes: Homes,
    apart: Option<DisjointHomes>,
}

impl Table {
    /// The table before any configuration has come.
    pub fn empty() -> Table {
        Table::of(&Config::default())
    }

    /// Compiles a configuration that has been checked.
    pub fn of(config: &Config) -> Table {
        let mut homes = Homes::default();
        let mut names: Map<&str, Rc<str>> = Map::default();
        let mut hosts: Map<Box<str>, Host> = Map::default();
        for (name, route) in &config.routes {
            let shares = route.shares().filter(|(_, weight)| *weight > 0.0);
            let shares = shares.map(|(backend, weight)| {
                (names.entry(backend).or_insert_with(|| Rc::from(backend)).clone(), weight)
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
            let host = hosts.entry(plain_host(&route.hostname).into()).or_default();
            match route.path_prefix.ends_with('/') {
                true => drop(host.whole.insert(route.path_prefix.as_str().into(), compiled)),
                false => host.odd.push((route.path_prefix.as_str().into(), compiled)),
            }
        }
        for host in hosts.values_mut() {
            host.odd.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        }
        let mut keys: Map<Box<str>, Rc<Tenant>> = Map::default();
        for (name, tenant) in &config.tenants {
            let homes = homes.index(&tenant.home_regions);
            let holder = Rc::new(Tenant { name: name.as_str().into(), priority: tenant.priority, homes });
            keys.extend(tenant.api_keys.iter().map(|key| (key.as_str().into(), holder.clone())));
        }
        homes.meet();
        let apart = homes.apart(config);
        let keyed = config.has_tenants();
        Table {
            version: config.config_version,
            bounds: Bounds::of(&config.limits),
            hosts,
            keys,
            keyed,
            homes,
            apart,
        }
    }

    /// What nobody may serve, if anything: most likely a slip of who wrote the configuration.
    pub fn disjoint_homes(&self) -> Option<&DisjointHomes> {
        self.apart.as_ref()
    }

    /// The route for a `Host` line (letters' case and port don't count) and a path without its query: the one with the
    /// longest prefix.
    pub fn find(&self, host: &str, path: &str) -> RouteMatch {
        if self.version == 0 {
            return RouteMatch::NotLoaded;
        }
        let Some(host) = self.hosts.get(&*plain_host(host)) else { return RouteMatch::NotFound };
        let odd = host.odd.iter().find(|(prefix, _)| path.starts_with(&**prefix));
        let least = odd.map_or(0, |(prefix, _)| prefix.len());
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/').map(|(at, _)| at + 1);
        let whole = slashes.take_while(|end| *end > least).find_map(|end| host.whole.get(&path[..end]));
        match whole.or(odd.map(|(_, route)| route)) {
            Some(route) => RouteMatch::Route(route.clone()),
            None => RouteMatch::NotFound,
        }
    }

    /// All routes of a host with their prefixes, the longest first: [`Table::find`] takes the first one whose prefix
    /// begins the path.
    pub fn candidates(&self, host: &str) -> Vec<(&str, &Rc<Route>)> {
        let Some(host) = self.hosts.get(&*plain_host(host)) else { return Vec::new() };
        let odd = host.odd.iter().map(|(prefix, route)| (&**prefix, route));
        let whole = host.whole.iter().map(|(prefix, route)| (&**prefix, route));
        let mut all: Vec<_> = whole.chain(odd).collect();
        all.sort_by_key(|(prefix, _)| (std::cmp::Reverse(prefix.len()), *prefix));
        all
    }

    /// Regions that are a home of each of a host's routes with homes; `None`: none of its routes has any. Before a
    /// configuration is known no region is taken for a home.
    pub fn host_homes(&self, host: &str) -> Option<Vec<String>> {
        if self.version == 0 {
            return Some(Vec::new());
        }
        let host = self.hosts.get(&*plain_host(host))?;
        let routes = host.whole.values().chain(host.odd.iter().map(|(_, route)| route));
        let mut lists = routes.filter(|route| route.homes != 0).map(|route| &self.homes.lists[route.homes]);
        let mut common = lists.next()?.to_vec();
        for list in lists {
            common.retain(|home| list.contains(home));
        }
        Some(common)
    }

    /// Requests on this route need a key.
    pub fn requires_key(&self, route: &Route) -> bool {
        self.keyed && !route.open
    }

    /// The tenant that holds a key.
    pub fn tenant_by_key(&self, key: &str) -> Option<&Rc<Tenant>> {
        self.keys.get(key)
    }

    /// Regions that may serve a request on this route of this tenant; empty: any. Where both have homes both bind;
    /// `None`: they have none in common, nobody may serve it.
    pub fn homes(&self, route: &Route, tenant: Option<&Tenant>) -> Option<Rc<[String]>> {
        match (route.homes, tenant.map_or(0, |tenant| tenant.homes)) {
            (one, 0) | (0, one) => self.homes.lists.get(one).cloned(),
            (one, other) if one == other => self.homes.lists.get(one).cloned(),
            both => self.homes.common.get(&both).cloned(),
        }
    }
}

/// A region's servers may serve requests with these homes. One in a region that isn't known is at home nowhere.
pub fn region_allowed(region: &str, homes: &[String]) -> bool {
    homes.is_empty() || (!region.is_empty() && homes.iter().any(|home| home == region))
}

/// How near a server is to a gateway, by zone and region of each: 0 in the own zone, 1 in the own region, 2 elsewhere.
pub fn distance(server: (&str, &str), gateway: (&str, &str)) -> u8 {
    match () {
        () if server.0 == gateway.0 => 0,
        () if server.1 == gateway.1 => 1,
        () => 2,
    }
}

/// Rank of a request, 0 the highest: its tenant's goes before its route's.
pub fn priority(route: &Route, tenant: Option<&Tenant>) -> u32 {
    tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority)
}

/// Every list of homes once: requests with the same homes share them.
#[derive(Debug)]
struct Homes {
    /// The first is empty: any region.
    lists: Vec<Rc<[String]>>,
    /// What two lists have in common, by their places; absent: nothing.
    common: Map<(usize, usize), Rc<[String]>>,
}

impl Default for Homes {
    fn default() -> Homes {
        Homes { lists: vec![Rc::from([])], common: Map::default() }
    }
}

impl Homes {
    /// The place of a list, whatever its order.
    fn index(&mut self, regions: &[String]) -> usize {
        let mut regions = regions.to_vec();
        regions.sort();
        regions.dedup();
        self.lists.iter().position(|list| list[..] == regions[..]).unwrap_or_else(|| {
            self.lists.push(regions.into());
            self.lists.len() - 1
        })
    }

    /// Routes and tenants that have no home in common; after [`Homes::meet`]. There are few lists, whatever the number of
    /// routes.
    fn apart(&mut self, config: &Config) -> Option<DisjointHomes> {
        let mut tenants: Map<usize, (usize, &str)> = Map::default();
        for (name, tenant) in &config.tenants {
            let same = tenants.entry(self.index(&tenant.home_regions)).or_insert((0, name));
            same.0 += 1;
        }
        let mut apart: Option<DisjointHomes> = None;
        for (name, route) in config.routes.iter().filter(|(_, route)| !route.no_auth) {
            let homes = self.index(&route.home_regions);
            let strange = |other: usize| {
                homes != 0 && other != 0 && homes != other && !self.common.contains_key(&(homes, other))
            };
            let strangers = tenants.iter().filter(|(other, _)| strange(**other)).map(|(_, same)| *same);
            let Some((pairs, tenant)) = strangers.reduce(|one, other| (one.0 + other.0, one.1.min(other.1)))
            else {
                continue;
            };
            let first = || DisjointHomes { pairs: 0, route: name.as_str().into(), tenant: tenant.into() };
            apart.get_or_insert_with(first).pairs += pairs;
        }
        apart
    }

    /// Finds what each two lists have in common.
    fn meet(&mut self) {
        let named = self.lists.len();
        for one in 1..named {
            for other in 1..named {
                let both = self.lists[one].iter().filter(|region| self.lists[other].contains(region));
                let both: Vec<String> = both.cloned().collect();
                if one != other && !both.is_empty() {
                    let at = self.index(&both);
                    self.common.insert((one, other), self.lists[at].clone());
                }
            }
        }
    }
}

/// A host's name without port and closing dot, in small letters.
fn plain_host(host: &str) -> Cow<'_, str> {
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
