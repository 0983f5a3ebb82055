//! Which route takes a request.

use bolero::generator::bolero_generator::driver::{Options, Rng};
use bolero::generator::{TypeGenerator, ValueGenerator, produce};
use briarrail_model::{
    CustomerId, RequestAttributes, RouteConditions, RouteIndex, RouteRow, TableSet,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const CUSTOMERS: [&str; 3] = ["clerks", "cutters", "testers"];
const METHODS: [&str; 2] = ["GET", "POST"];
const PATHS: [&str; 5] = [
    "/",
    "/tickets",
    "/tickets/7",
    "/ticketsale",
    "/v1/chat/completions",
];
const PREFIXES: [&str; 5] = ["", "/", "/tickets", "/tickets/", "/v1"];
const MODELS: [&str; 2] = ["pan-model", "padoms"];

/// Bits and indices that a route or a request is drawn from.
#[derive(Debug, Clone, Copy, TypeGenerator)]
struct RouteDraw {
    customers: u8,
    methods: u8,
    models: u8,
    prefix: u8,
}

fn listed(bits: u8, names: &[&str]) -> Vec<String> {
    // A quarter of the lists is empty, which means all.
    if bits.is_multiple_of(4) {
        return Vec::new();
    }
    let chosen = names
        .iter()
        .enumerate()
        .filter(|(index, _)| bits >> (index + 2) & 1 == 1);
    chosen.map(|(_, name)| (*name).to_owned()).collect()
}

fn draw_tables(seed: u64) -> TableSet {
    let options = Options::default().with_max_len(1 << 12);
    let mut driver = Rng::new(SmallRng::seed_from_u64(seed), &options);
    let draws = produce::<Vec<RouteDraw>>().with().len(8_usize);
    let draws = draws.generate(&mut driver).expect("enough input");
    let routes = draws.into_iter().enumerate().map(|(index, draw)| {
        let customers = listed(draw.customers, &CUSTOMERS);
        route(
            &format!("r{index}"),
            RouteConditions {
                customers: customers.iter().map(|id| id.as_str().into()).collect(),
                methods: listed(draw.methods, &METHODS),
                models: listed(draw.models, &MODELS),
                path_prefix: PREFIXES[usize::from(draw.prefix) % PREFIXES.len()].to_owned(),
            },
        )
    });
    TableSet {
        routes: routes.collect(),
        pools: Vec::new(),
    }
}

fn route(name: &str, matches: RouteConditions) -> RouteRow {
    let row = serde_json::json!({ "name": name, "pool": "p" });
    RouteRow {
        conditions: matches,
        ..serde_json::from_value(row).unwrap()
    }
}

fn all_requests() -> Vec<RequestAttributes<'static>> {
    let mut requests = Vec::new();
    for customer in CUSTOMERS {
        for method in METHODS {
            for path in PATHS {
                for model in [None, Some(MODELS[0]), Some(MODELS[1])] {
                    requests.push(RequestAttributes {
                        customer,
                        method,
                        path,
                        model,
                    });
                }
            }
        }
    }
    requests
}

/// Says in other words than the code whether a route takes a request.
fn takes(matches: &RouteConditions, facts: &RequestAttributes<'_>) -> bool {
    let customers: Vec<_> = matches.customers.iter().map(CustomerId::as_str).collect();
    let customer = customers.is_empty() || customers.contains(&facts.customer);
    let method = matches.methods.is_empty() || matches.methods.iter().any(|it| it == facts.method);
    let models = &matches.models;
    let model = models.is_empty() || facts.model.is_some_and(|it| models.iter().any(|m| m == it));
    let path = match matches.path_prefix.as_str() {
        "" | "/" => true,
        "/tickets" | "/tickets/" => ["/tickets", "/tickets/7"].contains(&facts.path),
        "/v1" => facts.path == "/v1/chat/completions",
        other => panic!("no oracle for {other}"),
    };
    customer && method && model && path
}

#[test]
fn route_is_the_most_specific_that_takes_the_request_for_fixed_seeds() {
    for seed in 0..200 {
        let tables = draw_tables(seed);
        for facts in all_requests() {
            let taking = tables
                .routes
                .iter()
                .filter(|row| takes(&row.conditions, &facts));
            let rank = |row: &&RouteRow| {
                (
                    std::cmp::Reverse(row.conditions.specificity()),
                    row.name.clone(),
                )
            };
            let expected = taking.min_by_key(rank).map(|row| &row.name);
            let found = tables.route_for(&facts).map(|row| &row.name);
            assert_eq!(found, expected, "seed {seed}, {facts:?}");
        }
    }
}

#[test]
fn route_does_not_depend_on_the_order_of_the_rows() {
    for seed in 0..50 {
        let tables = draw_tables(seed);
        let mut reversed = tables.clone();
        reversed.routes.reverse();
        for facts in all_requests() {
            let name = |tables: &TableSet| tables.route_for(&facts).map(|row| row.name.clone());
            assert_eq!(name(&tables), name(&reversed), "seed {seed}, {facts:?}");
        }
    }
}

#[test]
fn index_gives_the_same_route_for_fixed_seeds() {
    for seed in 0..200 {
        let tables = draw_tables(seed);
        let index = RouteIndex::new(&tables);
        for facts in all_requests() {
            let expected = tables.route_for(&facts);
            assert_eq!(
                index.route_for(&tables, &facts),
                expected,
                "seed {seed}, {facts:?}"
            );
        }
    }
}

#[test]
fn more_conditions_come_before_a_longer_prefix() {
    let by_path = RouteConditions {
        path_prefix: format!("/{}", "a".repeat(2_000)),
        ..RouteConditions::default()
    };
    let by_method = RouteConditions {
        methods: vec!["GET".into()],
        ..RouteConditions::default()
    };
    assert!(by_method.specificity() > by_path.specificity());
}
