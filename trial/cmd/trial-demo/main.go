// Command trial-demo belongs to the trials.
package main

func main() {}
