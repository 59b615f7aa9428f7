"""myrtleroad: a proxy that tries out new builds on live traffic."""
