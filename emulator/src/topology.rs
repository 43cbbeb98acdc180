//! The topology of the fleet: services in tiers, their upstreams, and the balancers beside the upstreams.

use crate::hollow::{Config, Shape};
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use std::ops::Range;

/// A service: a set of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Tier of the service, from 0: the length of the longest path from the clients to it, less one.
    pub tier: u32,
    /// Indices of its upstreams in [`Topology::upstreams`].
    pub upstreams: Range<usize>,
    /// The services that it sends requests to.
    pub callees: Vec<Callee>,
    /// Expected number of requests to this service for each client request.
    pub requests_per_client_request: f64,
    /// Mean service time of a warm upstream, in nanoseconds, without the time spent waiting for callees.
    pub mean_service_time: f64,
    /// Number of requests that one upstream processes concurrently.
    pub concurrency: u32,
    /// Indices in [`Topology::instances`] of the module instances that send to this service.
    pub client_instances: Vec<usize>,
}

/// A service that another service sends requests to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Callee {
    /// Index in [`Topology::services`].
    pub service: usize,
    /// Probability that a request to the calling service leads to a request to this one.
    pub probability: f64,
}

/// An upstream: one server of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Index of its service in [`Topology::services`].
    pub service: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Indices of the module instances of its balancer: one for each callee of its service, in the same order.
    pub instances: Range<usize>,
}

/// The owner of the balancer that a module instance belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// A front balancer, which receives the clients' requests.
    Front(usize),
    /// An upstream.
    Upstream(usize),
}

/// An instance of the decision module.
///
/// The module knows the endpoint list of a single service, as in a real balancer. A balancer whose upstream sends
/// requests to several services therefore runs one instance for each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Owner of the balancer.
    pub owner: Owner,
    /// Index of the service that it sends requests to.
    pub service: usize,
    /// Index of its zone.
    pub zone: usize,
}

/// A front balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontBalancer {
    /// Index of its zone.
    pub zone: usize,
    /// Indices of its module instances: one for each entry service, in the same order.
    pub instances: Range<usize>,
}

/// The topology of the whole fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Topology {
    /// Services in topological order: each callee comes after all services that send to it.
    pub services: Vec<Service>,
    /// Upstreams, grouped by service.
    pub upstreams: Vec<Upstream>,
    /// Front balancers.
    pub fronts: Vec<FrontBalancer>,
    /// Module instances.
    pub instances: Vec<Instance>,
    /// Indices of the services that receive the clients' requests.
    pub entry_services: Vec<usize>,
    /// Expected requests for each client request, over all tiers, if no request fails.
    pub requests_per_client_request: f64,
    /// Client requests per second.
    pub request_rate: f64,
}

impl Topology {
    /// Builds the topology of a checked configuration.
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

    /// Adds one service per tier. Each request to a service leads to one request to the next tier.
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

    /// Adds the services of all tiers. Each service sends to one service of the next tier, and to at most two more
    /// within the next three tiers; services that are left without a client get one from the tier above.
    fn add_graph(&mut self, config: &Config, rng: &mut ChaCha8Rng) {
        let depth = config.depth as usize;
        let mut tiers: Vec<u32> = (0..config.services)
            .map(|index| if index < depth { index } else { rng.random_range(0..depth) } as u32)
            .collect();
        tiers.sort_unstable();
        tiers.into_iter().for_each(|tier| self.add_service(tier));
        let services_in_tier: Vec<Vec<usize>> = (0..config.depth)
            .map(|tier| (0..config.services).filter(|&index| self.services[index].tier == tier).collect())
            .collect();
        let mut has_client = vec![false; config.services];
        for index in 0..config.services {
            let tier = self.services[index].tier as usize;
            if tier + 1 == depth {
                continue;
            }
            let mut callees = vec![*services_in_tier[tier + 1].choose(rng).expect("each tier has a service")];
            for _ in 0..rng.random_range(0..=2) {
                let callee_tier = rng.random_range(tier + 1..depth.min(tier + 4));
                let callee = *services_in_tier[callee_tier].choose(rng).expect("each tier has a service");
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
                let client = *services_in_tier[tier - 1].choose(rng).expect("each tier has a service");
                self.services[client].callees.push(Callee { service: index, probability: 0.0 });
            }
        }
        // The first callee forms the main path of the call tree and has twice the weight of the others.
        for service in &mut self.services {
            let weights = service.callees.len() as f64 + 1.0;
            for (index, callee) in service.callees.iter_mut().enumerate() {
                let weight = if index == 0 { 2.0 } else { 1.0 };
                callee.probability = (config.calls_per_call * weight / weights).min(1.0);
            }
        }
        self.entry_services = services_in_tier[0].clone();
    }

    /// Computes the expected requests to each service for one client request.
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

    /// Distributes the upstreams: at least two per service, or one if there are too few for that, and the others in
    /// proportion to the expected requests.
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

    /// Adds the upstreams of each service. Their zones alternate between the regions, so that the upstreams of a
    /// service with two of them are in different regions.
    fn add_upstreams(&mut self, config: &Config, sizes: &[usize], rng: &mut ChaCha8Rng) {
        let per_region = config.zones / config.regions;
        let service_time_spread = LogNormal::new(0.0, config.service_spread)
            .expect("the checked spread is finite and not negative");
        for (index, &size) in sizes.iter().enumerate() {
            let first_position = rng.random_range(0..config.zones);
            let start = self.upstreams.len();
            for position in first_position..first_position + size {
                let (region, index_in_region) =
                    (position % config.regions, position / config.regions % per_region);
                let zone = region * per_region + index_in_region;
                self.upstreams.push(Upstream { service: index, zone, instances: 0..0 });
            }
            let service = &mut self.services[index];
            service.upstreams = start..self.upstreams.len();
            service.mean_service_time = config.service_ms * 1e6 * service_time_spread.sample(rng);
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

    /// Position of an upstream among the upstreams of its service.
    pub fn index_in_service(&self, upstream: usize) -> usize {
        upstream - self.service_of(upstream).upstreams.start
    }

    /// Whether two zones are in different regions.
    pub fn regions_differ(config: &Config, zone: usize, other: usize) -> bool {
        let per_region = config.zones / config.regions;
        zone / per_region != other / per_region
    }
}
