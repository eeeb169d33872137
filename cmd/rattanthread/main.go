// Command rattanthread runs and operates a layer-4 load balancer.
package main

func main() {}
