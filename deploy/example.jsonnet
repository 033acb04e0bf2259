// Settings that an installation may add to the platform's configuration:
// `woadhook run --operator deploy/example.jsonnet`.
// docs/operating/fields.md explains every field; `woadhook check --operator FILE` checks a file.
// The file is optional. Without it, the routers share no information.
local hall = import 'lib/hall.libsonnet';

{
  log: { format: 'json', level: 'info' },

  accord: { lease_ms: 8000, clock_tolerance_ms: 2000 },

  gossip: hall.gossip('10.20.0.4', seeds=['10.20.0.1', '10.20.0.2', '10.20.0.3']) {
    cluster: 'arhiv-test',
    // Holds two keys while the operator's key is being replaced.
    operator_keys: ['d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a'],
    // The operator's signed set of voters, who decide the state that all routers follow; see
    // docs/operating/accord.md.
    order: 'keys/order',
  },
}
