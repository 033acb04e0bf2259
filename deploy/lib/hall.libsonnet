// Settings that all instances of a hall share.
{
  local port = 7946,

  gossip(own, seeds):: {
    listen: '%s:%d' % [own, port],
    seeds: ['%s:%d' % [seed, port] for seed in seeds],
    key: 'keys/own.key',
    pass: 'keys/own.pass',
    period_ms: 200,
    checks_per_s: 400,
  },
}
