//! Who calls whom: services in the tiers of a graph, their upstreams, and the balancers beside these.

use crate::hollow::{Config, Shape};
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use std::ops::Range;

/// A service: upstreams that do the same.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its tier, from 0: the length of the longest way to it from the clients, less one.
    pub tier: u32,
    /// Its upstreams, by position in `Topology::upstreams`.
    pub upstreams: Range<usize>,
    /// The services that it calls.
    pub callees: Vec<Callee>,
    /// Expected calls of it for each request of a client.
    pub requests_per_client_request: f64,
    /// Mean time of its own work on a call, in nanoseconds, when it is warm.
    pub mean_service_time: f64,
    /// Calls that one of its upstreams works on at a time.
    pub concurrency: u32,
    /// The module instances that send to it, by position in `Topology::instances`.
    pub client_instances: Vec<usize>,
}

/// A service that is called by another one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Callee {
    /// Position in `Topology::services`.
    pub service: usize,
    /// How many in one calls of the caller lead to a call of it.
    pub probability: f64,
}

/// A server of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Position in `Topology::services`.
    pub service: usize,
    /// Its zone.
    pub zone: usize,
    /// The module instances of its balancer, one for each callee of its service, in that order.
    pub instances: Range<usize>,
}

/// Whose balancer an instance belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// A front balancer, that the clients call.
    Front(usize),
    /// An upstream.
    Upstream(usize),
}

/// One instance of the decision module. The module knows the list of one tier alone, as a real balancer does:
/// a balancer whose upstream calls several services runs an instance for each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Whose it is.
    pub owner: Owner,
    /// The service that it sends to.
    pub service: usize,
    /// Its zone.
    pub zone: usize,
}

/// A front balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontBalancer {
    /// Its zone.
    pub zone: usize,
    /// Its module instances, one for each entry, in that order.
    pub instances: Range<usize>,
}

/// The whole fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Topology {
    /// Services, a callee always after its callers.
    pub services: Vec<Service>,
    /// Upstreams, those of a service in a row.
    pub upstreams: Vec<Upstream>,
    /// Front balancers.
    pub fronts: Vec<FrontBalancer>,
    /// Module instances.
    pub instances: Vec<Instance>,
    /// The services that clients call.
    pub entry_services: Vec<usize>,
    /// Expected calls for each request of a client, over all tiers, if none fails.
    pub requests_per_client_request: f64,
    /// Requests of clients a second.
    pub request_rate: f64,
}

impl Topology {
    /// Builds the fleet of a configuration that has been checked.
    pub fn new(config: &Config, rng: &mut ChaCha8Rng) -> Self {
        let mut topology = Self::default();
        match config.shape {
            Shape::Chain => topology.add_chain(config),
            Shape::Graph => topology.add_graph(config, rng),
        }
        topology.compute_expected_requests();
        topology.request_rate = match config.requests {
            0.0 => config.rate / topology.requests_per_client_request,
            requests => requests,
        };
        let sizes = match config.shape {
            Shape::Chain => vec![config.servers_per_tier; topology.services.len()],
            Shape::Graph => topology.upstreams_per_service(config.balancers),
        };
        topology.add_upstreams(config, &sizes, rng);
        topology.add_instances(config);
        topology
    }

    fn add_service(&mut self, tier: u32) {
        self.services.push(Service {
            tier,
            upstreams: 0..0,
            callees: Vec::new(),
            requests_per_client_request: 0.0,
            mean_service_time: 0.0,
            concurrency: 1,
            client_instances: Vec::new(),
        });
    }

    /// One service a tier; each call of one leads to a call of the next.
    fn add_chain(&mut self, config: &Config) {
        for tier in 0..config.depth {
            self.add_service(tier);
            if tier > 0 {
                let callee = Callee { service: tier as usize, probability: 1.0 };
                self.services[tier as usize - 1].callees.push(callee);
            }
        }
        self.entry_services.push(0);
    }

    /// Services over all tiers. Each calls one of the next tier, most up to two more of the tiers after that, and
    /// each is called by some other.
    fn add_graph(&mut self, config: &Config, rng: &mut ChaCha8Rng) {
        let depth = config.depth as usize;
        let mut tiers: Vec<u32> = (0..config.services)
            .map(|index| if index < depth { index } else { rng.random_range(0..depth) } as u32)
            .collect();
        tiers.sort_unstable();
        tiers.into_iter().for_each(|tier| self.add_service(tier));
        let in_tier: Vec<Vec<usize>> = (0..config.depth)
            .map(|tier| (0..config.services).filter(|&index| self.services[index].tier == tier).collect())
            .collect();
        let mut has_client = vec![false; config.services];
        for index in 0..config.services {
            let tier = self.services[index].tier as usize;
            if tier + 1 == depth {
                continue;
            }
            let mut callees = vec![*in_tier[tier + 1].choose(rng).expect("each tier has a service")];
            for _ in 0..rng.random_range(0..=2) {
                let deeper = rng.random_range(tier + 1..depth.min(tier + 4));
                let callee = *in_tier[deeper].choose(rng).expect("each tier has a service");
                if !callees.contains(&callee) {
                    callees.push(callee);
                }
            }
            callees.iter().for_each(|&callee| has_client[callee] = true);
            self.services[index].callees =
                callees.into_iter().map(|service| Callee { service, probability: 0.0 }).collect();
        }
        for index in (0..config.services).filter(|&index| !has_client[index]) {
            let tier = self.services[index].tier as usize;
            if tier > 0 {
                let client = *in_tier[tier - 1].choose(rng).expect("each tier has a service");
                self.services[client].callees.push(Callee { service: index, probability: 0.0 });
            }
        }
        // The first callee is the spine of the call tree and gets the weight of two.
        for service in &mut self.services {
            let weights = service.callees.len() as f64 + 1.0;
            for (index, callee) in service.callees.iter_mut().enumerate() {
                let weight = if index == 0 { 2.0 } else { 1.0 };
                callee.probability = (config.calls_per_call * weight / weights).min(1.0);
            }
        }
        self.entry_services = in_tier[0].clone();
    }

    fn compute_expected_requests(&mut self) {
        for &entry in &self.entry_services {
            self.services[entry].requests_per_client_request = 1.0 / self.entry_services.len() as f64;
        }
        for index in 0..self.services.len() {
            let requests = self.services[index].requests_per_client_request;
            for callee in self.services[index].callees.clone() {
                self.services[callee.service].requests_per_client_request += requests * callee.probability;
            }
        }
        self.requests_per_client_request =
            self.services.iter().map(|service| service.requests_per_client_request).sum();
    }

    /// Shares out the upstreams: two for each service, or one where there are too few, and the rest by calls.
    fn upstreams_per_service(&self, upstreams: usize) -> Vec<usize> {
        let min_size = if upstreams >= 2 * self.services.len() { 2 } else { 1 };
        let remaining = upstreams - min_size * self.services.len();
        let share = |service: &Service| {
            remaining as f64 * service.requests_per_client_request / self.requests_per_client_request
        };
        let mut sizes: Vec<usize> =
            self.services.iter().map(|service| min_size + share(service) as usize).collect();
        let mut by_remainder: Vec<usize> = (0..self.services.len()).collect();
        by_remainder.sort_by(|&a, &b| {
            let [a, b] = [a, b].map(|index| share(&self.services[index]).fract());
            b.total_cmp(&a)
        });
        let leftover = upstreams - sizes.iter().sum::<usize>();
        by_remainder.into_iter().cycle().take(leftover).for_each(|index| sizes[index] += 1);
        sizes
    }

    /// Zones of a service's upstreams follow each other so that the regions alternate: two are in two regions.
    fn add_upstreams(&mut self, config: &Config, sizes: &[usize], rng: &mut ChaCha8Rng) {
        let per_region = config.zones / config.regions;
        let spread = LogNormal::new(0.0, config.service_spread).expect("the spread has been checked");
        for (index, &size) in sizes.iter().enumerate() {
            let first = rng.random_range(0..config.zones);
            let start = self.upstreams.len();
            for position in first..first + size {
                let (region, index_in_region) =
                    (position % config.regions, position / config.regions % per_region);
                let zone = region * per_region + index_in_region;
                self.upstreams.push(Upstream { service: index, zone, instances: 0..0 });
            }
            let service = &mut self.services[index];
            service.upstreams = start..self.upstreams.len();
            service.mean_service_time = config.service_ms * 1e6 * spread.sample(rng);
            let rate = service.requests_per_client_request * self.request_rate / size as f64;
            service.concurrency =
                (rate * service.mean_service_time / 1e9 / config.utilisation).ceil().max(1.0) as u32;
        }
    }

    fn add_instances(&mut self, config: &Config) {
        for front in 0..config.fronts {
            let (zone, first) = (front % config.zones, self.instances.len());
            for service in self.entry_services.clone() {
                self.add_instance(Instance { owner: Owner::Front(front), service, zone });
            }
            self.fronts.push(FrontBalancer { zone, instances: first..self.instances.len() });
        }
        for index in 0..self.upstreams.len() {
            let (zone, first) = (self.upstreams[index].zone, self.instances.len());
            for callee in self.services[self.upstreams[index].service].callees.clone() {
                self.add_instance(Instance { owner: Owner::Upstream(index), service: callee.service, zone });
            }
            self.upstreams[index].instances = first..self.instances.len();
        }
    }

    fn add_instance(&mut self, instance: Instance) {
        self.services[instance.service].client_instances.push(self.instances.len());
        self.instances.push(instance);
    }

    /// The service of an upstream.
    pub fn service_of(&self, upstream: usize) -> &Service {
        &self.services[self.upstreams[upstream].service]
    }

    /// The place of an upstream among those of its service.
    pub fn index_in_service(&self, upstream: usize) -> usize {
        upstream - self.service_of(upstream).upstreams.start
    }

    /// Whether two zones lie in different regions.
    pub fn regions_differ(config: &Config, zone: usize, other: usize) -> bool {
        let per_region = config.zones / config.regions;
        zone / per_region != other / per_region
    }
}
