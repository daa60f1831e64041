// Command bilberryvaned is the node: one process per backend server host.
package main

func main() {}
